//! A controller that lists the records and gets each page by hand, so that a test decides what it has read when a
//! message arrives.

use glenmount_core::controller::{
    Controller, Effect, Event, OperationId, PeerHeartbeat, RequestId, StateOperation,
    StateResponse, UserReply, WorkerReply,
};
use glenmount_core::model::{JobSpec, WorkerHeartbeat};
use glenmount_core::settings::Settings;
use glenmount_core::state::{JobPhase, JobRecord, Key, Record};
use glenmount_simulation::START_TIME_MS;

/// Time between two ticks in milliseconds.
const TICK_MS: u64 = 50;

/// A record as a list returns it: its key, the revision of its last change and its value.
pub type ListedRecord = (Key, u64, Record);

/// Returns a job as it is listed.
pub fn listed_job(spec: JobSpec, mod_revision: u64, phase: JobPhase) -> ListedRecord {
    let key = Key::Job(spec.id.clone());
    let open = JobRecord {
        phase: JobPhase::Open,
        tasks: spec.tasks,
        tasks_per_chunk: 1,
        accepted_at: 0,
        ended_at: 0,
        spec: Some(Box::new(spec)),
    };
    let record = match phase {
        JobPhase::Open => open,
        ended => open.with_final_phase(ended, 1),
    };
    (key, mod_revision, Record::Job(record))
}

/// A controller without simulation, and the effects that it has emitted.
pub struct ListingController {
    controller: Controller,
    now_ms: u64,
    /// The request for a page that is outstanding.
    page_request: Option<OperationId>,
    user_replies: Vec<(RequestId, UserReply)>,
    worker_replies: Vec<(RequestId, WorkerReply)>,
    /// Heartbeats that it has sent to its peers.
    pub peer_heartbeats: Vec<PeerHeartbeat>,
    next_request: RequestId,
}

impl ListingController {
    /// Starts a controller, which requests the first page.
    pub fn start(settings: Settings) -> ListingController {
        let mut listing = ListingController {
            controller: Controller::new(settings, 1, 0, START_TIME_MS),
            now_ms: 0,
            page_request: None,
            user_replies: Vec::new(),
            worker_replies: Vec::new(),
            peer_heartbeats: Vec::new(),
            next_request: 1,
        };
        listing.run(TICK_MS);
        listing
    }

    /// Handles an event and keeps its effects.
    pub fn handle(&mut self, event: Event) {
        let wall_time = START_TIME_MS + self.now_ms;
        for effect in self.controller.handle(self.now_ms, wall_time, event) {
            match effect {
                Effect::State {
                    operation_id,
                    operation: StateOperation::List { .. },
                    ..
                } => self.page_request = Some(operation_id),
                Effect::User { request, reply } => self.user_replies.push((request, reply)),
                Effect::PeerHeartbeat(heartbeat) => self.peer_heartbeats.push(heartbeat),
                Effect::Worker { request, reply } => self.worker_replies.push((request, reply)),
                _ => {}
            }
        }
    }

    /// Lets time pass with its ticks.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.handle(Event::Tick);
        }
    }

    /// Answers the outstanding request for a page, which was read at a revision and is not the last one.
    pub fn deliver_page(&mut self, revision: u64, items: Vec<ListedRecord>) {
        let last = items.last().map(|(key, ..)| key.path());
        let response = StateResponse::Listed {
            items,
            last,
            more: true,
            revision,
        };
        let operation_id = self.page_request.take().expect("a page is requested");
        self.handle(Event::State {
            operation_id,
            response,
        });
    }

    /// Sends a user's status request and returns the answer, if it is given at once.
    pub fn status(&mut self, job: &str) -> Option<UserReply> {
        let request = self.take_request();
        let job = job.to_string();
        self.handle(Event::Status { request, job });
        let mut replies = self.user_replies.iter();
        let reply = replies.find(|(answered, _)| *answered == request);
        reply.map(|(_, reply)| reply.clone())
    }

    /// Sends a worker's heartbeat. Returns its request.
    pub fn send_heartbeat(&mut self, heartbeat: WorkerHeartbeat) -> RequestId {
        let request = self.take_request();
        let heartbeat = Box::new(heartbeat);
        self.handle(Event::WorkerHeartbeat { request, heartbeat });
        request
    }

    /// Returns the reply to a worker's heartbeat, if there is one yet.
    pub fn worker_reply(&self, request: RequestId) -> Option<&WorkerReply> {
        let mut replies = self.worker_replies.iter();
        let reply = replies.find(|(answered, _)| *answered == request);
        reply.map(|(_, reply)| reply)
    }

    fn take_request(&mut self) -> RequestId {
        self.next_request += 1;
        self.next_request
    }
}
