//! The verb `invoice`: shows what customers are billed.

use std::process::ExitCode;

use crate::{
    cli::InvoiceArgs,
    commands::{Status, query},
    coordination::bills::Invoice,
    protocol::operators::INVOICE_PATH,
    state::names::is_valid_name,
};

/// Runs the verb.
pub async fn run(args: InvoiceArgs) -> ExitCode {
    let path = match &args.customer {
        None => INVOICE_PATH.into(),
        Some(customer) if is_valid_name(customer) => format!("{INVOICE_PATH}?customer={customer}"),
        Some(customer) => {
            eprintln!("{customer:?} is not a valid customer name");
            return Status::Usage.into();
        }
    };
    query::run(&args.remote, &path, show).await
}

fn show(invoice: &Invoice) {
    for (customer, total) in &invoice.customers {
        println!(
            "{customer} requests={} units={} cost={}",
            total.requests, total.units, total.cost
        );
    }
    if invoice.unreadable > 0 {
        println!("{} rows could not be read", invoice.unreadable);
    }
}
