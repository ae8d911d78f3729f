//! The task of an entry that lends shares of the customers' allowances to agents.
//!
//! A share is the part of an allowance that one agent may use. Agents report their
//! demand, and the lender answers each report with a grant of a share.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::time;
use tokio::time::MissedTickBehavior;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::roster::RosterView;
use marigoldway_core::share::ShareOptions;
use marigoldway_core::share::lender::Lender;
use marigoldway_net::clock::Clock;
use marigoldway_net::control::MessageReceiver;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::shares::SharesMessage;
use marigoldway_net::wire::shares::SharesWire;

use crate::lists::Catalogs;
use crate::membership::Membership;
use crate::operator::Status;
use crate::shares::TICK_INTERVAL;

/// Answers the reports of agents with grants until the channel of messages is closed, at
/// the end of the process. Doesn't answer a report for a customer whose lender is another
/// entry. `own` is the instance id of this entry.
pub async fn lend(
    membership: Membership,
    mut messages: MessageReceiver<SharesWire>,
    mut catalogs: Catalogs,
    status: Arc<Status>,
    clock: Clock,
    own: InstanceId,
) {
    let mut lender = Lender::new(clock.now(), ShareOptions::default(), own);
    let mut views = membership.views();
    let mut tick = time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            // The tick comes first, since it detects that the process was suspended.
            biased;
            _ = tick.tick() => {
                apply_changes(&mut lender, &clock, &mut views, &mut catalogs);
                lender.tick(clock.now());
                status.set_fact("customers-lent", lender.len());
            }
            message = messages.recv() => {
                let Some((from, wire)) = message else {
                    return;
                };
                match SharesMessage::try_from(wire) {
                    Ok(SharesMessage::Report(report)) => {
                        if let Some(grant) = lender.report(clock.now(), from, &report) {
                            let frame = Frame::Shares(SharesWire::from(&grant));
                            membership.control().send(from, frame);
                        }
                    }
                    // Grants are ignored: only agents use them.
                    Ok(SharesMessage::Grant(_)) => (),
                    Err(error) => {
                        log::warn!("event=share-malformed peer={from} reason=\"{error}\"");
                    }
                }
            }
        }
    }
}

/// Passes the entries of a changed roster, and changed lists, on to the lender.
fn apply_changes(
    lender: &mut Lender,
    clock: &Clock,
    views: &mut watch::Receiver<Arc<RosterView>>,
    catalogs: &mut Catalogs,
) {
    if views.has_changed().unwrap_or(false) {
        let view = views.borrow_and_update().clone();
        lender.set_entries(clock.now(), view.entries());
    }
    if catalogs.has_changed().unwrap_or(false)
        && let Some(catalog) = catalogs.borrow_and_update().clone()
    {
        lender.set_catalog(catalog);
    }
}
