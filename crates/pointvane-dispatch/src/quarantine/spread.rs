//! Which news of requests under which upstreams crash go to other nodes, and when: at once, in rounds, in pages, or when they are pulled.

use {
    super::{NEWS_MAX, Quarantine, Suspect, SuspectNews},
    crate::fingerprint::RequestFingerprint,
    std::cmp::Reverse,
};

/// Datagrams with which a pull is answered at most. Not measured.
const PULL_PAGES: usize = 4;

impl Quarantine {
    /// What has to go to as many nodes as can be reached at once: what this node itself has just seen.
    pub fn take_urgent(&mut self, now_us: u64) -> Vec<SuspectNews> {
        let chosen = self.newest_first(|suspect| suspect.urgent);
        self.tell(&chosen, now_us, |suspect| suspect.urgent = false)
    }

    /// What goes to a few nodes in this round; empty if nothing is new.
    pub fn take_round(&mut self, now_us: u64) -> Vec<SuspectNews> {
        let chosen = self.newest_first(|suspect| suspect.rounds_left > 0);
        self.tell(&chosen, now_us, |suspect| suspect.rounds_left -= 1)
    }

    /// The next part of all that is known, for a node that may have missed it: those in quarantine and all by turns.
    pub fn next_page(&mut self, now_us: u64) -> Vec<SuspectNews> {
        let only_held = self.pages.is_multiple_of(2);
        let told: Vec<RequestFingerprint> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| !only_held || suspect.reported > 0)
            .map(|(request, _)| *request)
            .collect();
        let page = self.pages / 2 % told.len().div_ceil(NEWS_MAX).max(1);
        self.pages += 1;
        let chosen: Vec<_> = told.into_iter().skip(page * NEWS_MAX).take(NEWS_MAX).collect();
        self.tell(&chosen, now_us, |_| {})
    }

    /// What is answered to a pull: those with the most crashes.
    pub fn pages_for_pull(&mut self, now_us: u64) -> Vec<Vec<SuspectNews>> {
        let mut all: Vec<_> = self.suspects.iter().collect();
        all.sort_by_key(|(_, suspect)| Reverse(suspect.history.crashes().len()));
        let chosen: Vec<_> =
            all.into_iter().map(|(request, _)| *request).take(PULL_PAGES * NEWS_MAX).collect();
        chosen.chunks(NEWS_MAX).map(|page| self.tell(page, now_us, |_| {})).collect()
    }

    /// Some suspects for one datagram: those in quarantine first, the newest of them first.
    fn newest_first(&self, wanted: impl Fn(&Suspect) -> bool) -> Vec<RequestFingerprint> {
        let mut chosen: Vec<_> = self.suspects.iter().filter(|(_, suspect)| wanted(suspect)).collect();
        chosen.sort_by_key(|(_, suspect)| Reverse((suspect.reported > 0, suspect.history.latest_at_us())));
        chosen.into_iter().map(|(request, _)| *request).take(NEWS_MAX).collect()
    }

    fn tell(
        &mut self,
        requests: &[RequestFingerprint],
        now_us: u64,
        told: impl Fn(&mut Suspect),
    ) -> Vec<SuspectNews> {
        let news = requests.iter().filter_map(|request| {
            let suspect = self.suspects.get_mut(request)?;
            told(suspect);
            Some(SuspectNews::new(*request, &suspect.history, now_us as i64))
        });
        news.collect()
    }
}
