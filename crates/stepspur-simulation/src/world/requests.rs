//! Clients: requests, tries and their answers.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_model::Micros;
use stepspur_model::serve::{Answer, Next, Serving, client_repeats};

use super::schedule::Scheduled;
use super::state::RequestState;
use super::{World, micros};

impl World {
    /// The next request is drawn, if there is one before the end of the run.
    pub(super) fn draw_request(&mut self) {
        let at_s = (self.now - self.begin) as f64 * 1e-6;
        let gap = self.traffic.gap(&self.weather, at_s);
        let next = self.now + (gap * 1e6) as Micros;
        if next >= self.end {
            return;
        }
        self.schedule.put(next, Scheduled::NextRequest);
        let Some(drawn) = self.traffic.draw(&self.weather) else { return };
        self.next_request += 1;
        let request = RequestState {
            asked: self.now,
            end: self.now + micros(self.plan.classes[drawn.class].deadline),
            client_try: 0,
            rng: ChaCha8Rng::seed_from_u64(drawn.seed),
            serving: None,
            serial: 0,
            attempt: None,
            drawn,
        };
        self.requests.insert(self.next_request, request);
        self.start_try(self.next_request);
    }

    /// A client's try begins.
    pub(super) fn start_try(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = &self.plan.classes[request.drawn.class];
        let patience = micros(class.deadline.mul_f64(self.plan.clients.try_share));
        let until = (self.now + patience).min(request.end);
        let model = &mut self.proxies[request.drawn.proxy].model;
        let aim = micros(class.aim);
        let (serving, next) = Serving::begin(model, self.now, request.drawn.class, aim, until);
        request.serving = Some(serving);
        self.proceed(id, next);
    }

    /// Does what a proxy decided on a request.
    pub(super) fn proceed(&mut self, id: u64, next: Next) {
        match next {
            Next::Tell(answer) => self.end_try(id, answer),
            Next::Send { server, until } => self.start_attempt(id, server, until),
        }
    }

    /// A client has its answer: it tries again, or the request is over.
    fn end_try(&mut self, id: u64, answer: Answer) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.client_try += 1;
        request.serial += 1;
        request.attempt = None;
        let class = &self.plan.classes[request.drawn.class];
        let since = now - request.asked;
        let may_try_again = request.client_try <= self.plan.clients.retries && now < request.end;
        if client_repeats(answer, class.repeat(), since) && may_try_again {
            let wait = self.plan.clients.wait.mul_f64(request.rng.random_range(0.8..1.2));
            self.schedule.put(now + micros(wait), Scheduled::ClientTry(id));
            return;
        }
        let Some(request) = self.requests.remove(&id) else { return };
        let asked = Duration::from_micros(request.asked.saturating_sub(self.begin));
        let repeats = request.client_try.saturating_sub(1);
        let took = Duration::from_micros(since);
        self.outcomes.note(class, request.drawn.class, asked, took, answer, repeats);
    }
}
