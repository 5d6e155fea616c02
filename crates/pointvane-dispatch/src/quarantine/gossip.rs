//! Selects the quarantine evidence that is sent to other nodes: by broadcast, in gossip rounds, in pages, or
//! in answer to a pull.

use {
    super::{Quarantine, SUSPECTS_PER_DATAGRAM_MAX, Suspect, SuspectReport},
    crate::fingerprint::RequestFingerprint,
    std::cmp::Reverse,
};

/// Maximum number of datagrams in the answer to a pull.
const PULL_PAGES_MAX: usize = 4;

impl Quarantine {
    /// Returns evidence that this node has just observed itself and that is to be broadcast immediately, up
    /// to one datagram per call.
    pub fn take_broadcast(&mut self, now_us: u64) -> Vec<SuspectReport> {
        let selected = self.newest_first(|suspect| suspect.broadcast_pending);
        self.build_messages(&selected, now_us, |suspect| suspect.broadcast_pending = false)
    }

    /// Returns the evidence to send to a few nodes in this gossip round; empty if nothing is new.
    pub fn take_gossip_round(&mut self, now_us: u64) -> Vec<SuspectReport> {
        let selected = self.newest_first(|suspect| suspect.rounds_left > 0);
        self.build_messages(&selected, now_us, |suspect| suspect.rounds_left -= 1)
    }

    /// Returns the next page of the evidence, for nodes that missed earlier messages. Pages alternate between
    /// quarantined requests and all requests.
    pub fn next_page(&mut self, now_us: u64) -> Vec<SuspectReport> {
        let only_quarantined = self.pages_sent.is_multiple_of(2);
        let listed: Vec<RequestFingerprint> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| !only_quarantined || suspect.reported_crashes > 0)
            .map(|(request, _)| *request)
            .collect();
        let page = self.pages_sent / 2 % listed.len().div_ceil(SUSPECTS_PER_DATAGRAM_MAX).max(1);
        self.pages_sent += 1;
        let selected: Vec<_> = listed
            .into_iter()
            .skip(page * SUSPECTS_PER_DATAGRAM_MAX)
            .take(SUSPECTS_PER_DATAGRAM_MAX)
            .collect();
        self.build_messages(&selected, now_us, |_| {})
    }

    /// Returns the answer to a pull, one element per datagram: the requests with the most crashes.
    pub fn pages_for_pull(&mut self, now_us: u64) -> Vec<Vec<SuspectReport>> {
        let mut all: Vec<_> = self.suspects.iter().collect();
        all.sort_by_key(|(_, suspect)| Reverse(suspect.history.crashes().len()));
        let selected: Vec<_> = all
            .into_iter()
            .map(|(request, _)| *request)
            .take(PULL_PAGES_MAX * SUSPECTS_PER_DATAGRAM_MAX)
            .collect();
        selected
            .chunks(SUSPECTS_PER_DATAGRAM_MAX)
            .map(|page| self.build_messages(page, now_us, |_| {}))
            .collect()
    }

    /// Selects suspects for one datagram: quarantined ones first, then by newest evidence.
    fn newest_first(&self, filter: impl Fn(&Suspect) -> bool) -> Vec<RequestFingerprint> {
        let mut selected: Vec<_> = self.suspects.iter().filter(|(_, suspect)| filter(suspect)).collect();
        selected.sort_by_key(|(_, suspect)| {
            Reverse((suspect.reported_crashes > 0, suspect.history.last_evidence_at_us()))
        });
        selected.into_iter().map(|(request, _)| *request).take(SUSPECTS_PER_DATAGRAM_MAX).collect()
    }

    /// Builds the messages for some requests and applies `on_sent` to the state of each.
    fn build_messages(
        &mut self,
        requests: &[RequestFingerprint],
        now_us: u64,
        on_sent: impl Fn(&mut Suspect),
    ) -> Vec<SuspectReport> {
        let reports = requests.iter().filter_map(|request| {
            let suspect = self.suspects.get_mut(request)?;
            on_sent(suspect);
            Some(SuspectReport::new(*request, &suspect.history, now_us as i64))
        });
        reports.collect()
    }
}
