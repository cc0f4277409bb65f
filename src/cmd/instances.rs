//! `instances`: lists the instances that a caller should use, in order of preference.

use super::{Failure, Run};
use crate::caller_api;
use crate::cli;
use error_stack::{Report, ResultExt as _};

impl Run for cli::Instances {
    fn run(&self, global: &cli::Global) -> Result<cli::Exit, Report<Failure>> {
        let caller = super::new_caller(global)?;
        let runtime = super::new_runtime()?;
        let addresses = runtime.block_on(caller.addresses());
        let addresses =
            addresses.change_context(Failure::Failed("could not get the list of instances"))?;
        super::print_value(global, &*addresses, format_text)?;
        Ok(cli::Exit::Done)
    }
}

fn format_text(reply: &caller_api::AddressesReply) -> String {
    let mut text = format!("to be used for {} ms, the first first\n", reply.ttl_ms);
    for address in &reply.addresses {
        text.push_str(&format!(
            "{:<20} {:<22} {}/{}\n",
            address.instance.as_str(),
            address.address.to_string(),
            address.region,
            address.failure_domain
        ));
    }
    text
}
