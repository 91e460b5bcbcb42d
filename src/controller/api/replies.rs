//! Dispatch of the key-value store's replies to the requests that wait for them.

use crate::controller::Controller;
use crate::controller::calls::ApiCall;
use crate::kv_store::KvResponse;

impl Controller {
    /// Handles a reply to a call for which a user waits.
    pub(crate) fn api_reply(&mut self, call: ApiCall, reply: KvResponse) {
        match call {
            ApiCall::Admit(group) => self.admission_reply(group, reply),
            ApiCall::ReadSubmitted { ticket, job, sent_at, if_absent } => {
                self.read_submitted_reply(ticket, &job, sent_at, if_absent, &reply);
            }
            ApiCall::ReadQueried { tickets, job, sent_at } => {
                self.read_queried_reply(tickets, &job, sent_at, &reply);
            }
            ApiCall::CompareStages { jobs, sent_at } => {
                self.compare_stages_reply(jobs, sent_at, reply);
            }
            ApiCall::ReadToCancel { ticket, job, tries_left } => {
                self.read_to_cancel_reply(ticket, job, tries_left, &reply);
            }
            ApiCall::WriteCancellation { ticket, job, tries_left } => {
                self.write_cancellation_reply(ticket, job, tries_left, &reply);
            }
            ApiCall::LookUpDependency { number, job } => {
                self.look_up_dependency_reply(number, &job, &reply);
            }
            ApiCall::StoreDependencies { ticket, spec, spec_bytes, last_list } => {
                self.store_dependencies_reply(ticket, spec, spec_bytes, last_list, &reply);
            }
            ApiCall::CompareDependencies { ticket, status, job, sent_at } => {
                self.compare_dependencies_reply(ticket, status, &job, sent_at, &reply);
            }
        }
    }
}
