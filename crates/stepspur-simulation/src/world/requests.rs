//! Clients: drawing requests, sending them to proxies, and repeating them.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_model::Micros;
use stepspur_model::serve::{Next, Response, Serving, client_repeats};

use super::schedule::Scheduled;
use super::state::RequestState;
use super::{World, micros};

impl World {
    /// Starts the request that is due now and schedules the next one, unless it would come after the end of
    /// the run.
    pub(super) fn draw_request(&mut self) {
        let elapsed_s = (self.now - self.begin) as f64 * 1e-6;
        let gap = self.traffic.gap(&self.weather, elapsed_s);
        let next = self.now + (gap * 1e6) as Micros;
        if next >= self.end {
            return;
        }
        self.schedule.push(next, Scheduled::NextRequest);
        let Some(drawn) = self.traffic.draw(&self.weather) else { return };
        self.next_request += 1;
        let request = RequestState {
            sent_at: self.now,
            deadline: self.now + micros(self.plan.classes[drawn.class].deadline),
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

    /// Sends a request, for the first time or again, from its client to its proxy.
    pub(super) fn start_try(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = &self.plan.classes[request.drawn.class];
        let try_timeout = micros(class.deadline.mul_f64(self.plan.clients.try_share));
        let until = (self.now + try_timeout).min(request.deadline);
        let model = &mut self.proxies[request.drawn.proxy].model;
        let objective = micros(class.aim);
        let (serving, next) = Serving::begin(model, self.now, request.drawn.class, objective, until);
        request.serving = Some(serving);
        self.proceed(id, next);
    }

    /// Carries out the next step that a proxy has decided on for a request.
    pub(super) fn proceed(&mut self, id: u64, next: Next) {
        match next {
            Next::Respond(answer) => self.end_try(id, answer),
            Next::Send { server, until } => self.start_attempt(id, server, until),
        }
    }

    /// Handles the result of a client's try: the client repeats the request after a backoff, or the request
    /// ends.
    fn end_try(&mut self, id: u64, answer: Response) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.client_try += 1;
        request.serial += 1;
        request.attempt = None;
        let class = &self.plan.classes[request.drawn.class];
        let since = now - request.sent_at;
        let may_try_again = request.client_try <= self.plan.clients.retries && now < request.deadline;
        if client_repeats(answer, class.repeat(), since) && may_try_again {
            let backoff = self.plan.clients.wait.mul_f64(request.rng.random_range(0.8..1.2));
            self.schedule.push(now + micros(backoff), Scheduled::ClientTry(id));
            return;
        }
        let Some(request) = self.requests.remove(&id) else { return };
        let first_sent = Duration::from_micros(request.sent_at.saturating_sub(self.begin));
        let repeats = request.client_try.saturating_sub(1);
        let took = Duration::from_micros(since);
        self.outcomes.note(class, request.drawn.class, first_sent, took, answer, repeats);
    }
}
