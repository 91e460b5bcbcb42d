//! Dispatch of the key-value store's replies to the requests that wait for them.

use crate::controller::Controller;
use crate::controller::calls::ApiCall;
use crate::kv_store::KvResponse;

impl Controller {
    /// Handles a reply to a call for which a user waits.
    pub(crate) fn api_reply(&mut self, call: ApiCall, reply: KvResponse) {
        match call {
            ApiCall::Admit(group) => self.admission_reply(group, reply),
            ApiCall::ReadSubmitted { ticket, job, origin, if_absent } => {
                self.read_submitted_reply(ticket, &job, origin, if_absent, &reply);
            }
            ApiCall::ReadQueried { tickets, job, origin } => {
                self.read_queried_reply(tickets, &job, origin, &reply);
            }
            ApiCall::CompareStages { jobs, sent_at } => {
                self.compare_stages_reply(jobs, sent_at, reply);
            }
            ApiCall::ReadToCancel { ticket, job, tries_left, origin } => {
                self.read_to_cancel_reply(ticket, job, tries_left, origin, &reply);
            }
            ApiCall::WriteCancellation { ticket, job, tries_left } => {
                self.write_cancellation_reply(ticket, job, tries_left, &reply);
            }
            ApiCall::LookUpDependency { number, job, origin } => {
                self.look_up_dependency_reply(number, &job, origin, &reply);
            }
            ApiCall::StoreDependencies { ticket, spec, spec_bytes, last_list } => {
                self.store_dependencies_reply(ticket, spec, spec_bytes, last_list, &reply);
            }
            ApiCall::CompareDependencies { ticket, status, job, origin } => {
                self.compare_dependencies_reply(ticket, status, &job, origin, &reply);
            }
        }
    }
}
