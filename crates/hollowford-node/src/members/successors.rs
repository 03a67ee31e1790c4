//! Designated successors: the members named to take over first.
//!
//! The owner row names them. A process that it names waits only a short time for tasks on workers
//! that it doesn't reach when it takes over, because this owner renews no leases once one of them
//! may have taken over.

use super::heartbeats::MAX_NAMED_MEMBERS;
use super::{Member, Members};
use crate::wire::Hello;
use hollowford_core::Millis;
use std::sync::Arc;

/// A member whose link has ended. Its process may have taken over.
#[derive(Debug)]
pub(super) struct DepartedMember {
    address: Arc<str>,
    boot: u64,
    followed_at: Millis,
    /// It said that it was about to stop, so it doesn't take over.
    stopping: bool,
}

impl From<Member> for DepartedMember {
    fn from(m: Member) -> DepartedMember {
        let Member { address, boot, followed_at, stopping, .. } = m;
        DepartedMember { address, boot, followed_at, stopping }
    }
}

impl Members {
    /// Removes what is known of an earlier link from the address of a member that joins. Returns
    /// when the same process is known to have followed this owner over that link. A link may have
    /// been opened long before the owner handles it, so the new one says nothing by itself.
    pub(super) fn replace_earlier_link(&mut self, hello: &Hello) -> Option<Millis> {
        let earlier = self.list.extract_if(.., |m| *m.address == hello.address);
        let earlier: Vec<_> = earlier.map(DepartedMember::from).collect();
        let departed = self.departed.extract_if(.., |d| *d.address == hello.address);
        let same_process = |d: &DepartedMember| d.boot == hello.boot;
        departed.chain(earlier).filter(same_process).map(|d| d.followed_at).max()
    }

    /// Returns the random ids of the processes to be named as successors.
    pub fn successors(&self) -> Vec<u64> {
        let boots = self.live().take(MAX_NAMED_MEMBERS).map(|m| m.boot);
        boots.filter(|&boot| boot != 0).collect()
    }

    /// Returns a time at which all of the `named` processes that may take over followed this owner,
    /// by the owner's clock; [`Millis::MAX`] if none may. Departed members that aren't named are
    /// forgotten.
    pub fn successors_followed_at(&mut self, named: &[u64]) -> Millis {
        self.departed.retain(|d| named.contains(&d.boot));
        self.last_contacts(named).map(|(followed_at, _)| followed_at).min().unwrap_or(Millis::MAX)
    }

    /// Returns the addresses of the `named` processes that may take over and are not known to have
    /// followed this owner since `since`.
    pub fn silent_successors(&self, named: &[u64], since: Millis) -> Vec<&str> {
        let silent = self.last_contacts(named).filter(|&(followed_at, _)| followed_at < since);
        silent.map(|(_, address)| address).collect()
    }

    /// Returns, for each of the `named` processes that may take over, when it is known to have
    /// followed this owner, and its address.
    fn last_contacts(&self, named: &[u64]) -> impl Iterator<Item = (Millis, &str)> {
        let may_take_over = move |boot, stopping: bool| !stopping && named.contains(&boot);
        let linked = self.list.iter().filter(move |m| may_take_over(m.boot, m.stopping));
        let departed = self.departed.iter().filter(move |d| may_take_over(d.boot, d.stopping));
        let linked = linked.map(|m| (m.followed_at, &*m.address));
        linked.chain(departed.map(|d| (d.followed_at, &*d.address)))
    }
}
