//! Limits of messages with users, workers and peers, and the sizes of their parts in the longest form.

/// Limit of a request body, by protocol.
pub const REQUEST_BODY_MAX_BYTES: u64 = 64 * 1024;
/// Size of a heartbeat without its tasks, with the longest names and numbers.
pub const HEARTBEAT_BASE_BYTES: u64 = 1_024;
/// Size of a task's entry in a heartbeat without the id of its job: a task number of 5 digits, an attempt of
/// 20, and the state of a stopped task, which is the longest.
pub const HEARTBEAT_TASK_BYTES: u64 = 98;
/// Size of the entries that all tasks assigned to a machine may have in its heartbeats. They take half of a
/// request body: the other half is for tasks that have ended and that the worker has not been told to forget.
pub const HEARTBEAT_ASSIGNED_BYTES: u64 = (REQUEST_BODY_MAX_BYTES - HEARTBEAT_BASE_BYTES) / 2;
/// Size of the entries of attempts that wait to be forgotten from which on a machine does not wait for the usual
/// interval.
pub const FORGET_PRESSURE_BYTES: u64 = HEARTBEAT_ASSIGNED_BYTES / 4;
/// Size of a message with commands to a worker, without these.
pub const COMMAND_BASE_BYTES: u64 = 128;
/// Size of a command without the id of its job: a task number of 5 digits, an attempt of 20, and a stop with
/// the longest number of seconds.
pub const COMMAND_BYTES: u64 = 96;
/// Limit of machines in a peer heartbeat, of about 60 bytes each, twice a second. A site has up to 5,000.
pub const HEARTBEAT_MAX_MACHINES: usize = 20_000;
/// Size limit of a frame with a peer heartbeat. A receiver closes the connection on a larger one.
pub const PEER_FRAME_MAX_BYTES: usize = 2 * 1024 * 1024;
/// Size of a peer heartbeat without its workers and images, with 100 controllers of the longest names.
pub const PEER_HEARTBEAT_BASE_BYTES: usize = 32 * 1024;
/// Size of a worker's entry in a peer heartbeat without the name of its machine: three numbers of 9 bytes and
/// the headers of the entry and the name.
pub const PEER_WORKER_BYTES: usize = 33;
/// Size of an image's entry in a peer heartbeat without its name, and of the header of a machine's images without
/// the name of the machine: a number or a second header, and the headers of the entry and the name.
pub const PEER_IMAGE_BYTES: usize = 15;
