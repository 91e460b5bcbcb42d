//! Replies of the key-value store to calls that a user's answer depends on, routed to
//! what awaits them.

use crate::controller::Controller;
use crate::controller::calls::ApiCall;
use crate::kv_store::KvResponse;

impl Controller {
    /// Takes in a reply to a call that a user awaits.
    pub(crate) fn api_reply(&mut self, call: ApiCall, reply: KvResponse) {
        match call {
            ApiCall::Admit(admitted) => self.admission_reply(admitted, reply),
            ApiCall::ReadSubmitted { ticket, job, sent_at, if_absent } => {
                self.read_submitted_reply(ticket, &job, sent_at, if_absent, &reply);
            }
            ApiCall::ReadQueried { tickets, job, sent_at } => {
                self.read_queried_reply(tickets, &job, sent_at, &reply);
            }
            ApiCall::CompareStages { jobs, sent_at } => {
                self.stages_compared(jobs, sent_at, reply);
            }
            ApiCall::ReadToCancel { ticket, job, tries_left } => {
                self.read_to_cancel_reply(ticket, job, tries_left, &reply);
            }
            ApiCall::WriteCancellation { ticket, job, tries_left } => {
                self.cancellation_written(ticket, job, tries_left, &reply);
            }
            ApiCall::LookUpDependency { number, job } => {
                self.dependency_looked_up(number, &job, &reply);
            }
            ApiCall::StoreDependencies { ticket, spec, spec_bytes, last_list } => {
                self.dependencies_stored(ticket, spec, spec_bytes, last_list, &reply);
            }
            ApiCall::CompareDependencies { ticket, status, job, sent_at } => {
                self.dependencies_compared(ticket, status, &job, sent_at, &reply);
            }
        }
    }
}
