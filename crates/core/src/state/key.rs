//! Keys of the shared records, and the paths under which the state service stores them.

/// The prefix of all paths; one watch covers them all.
pub const PREFIX: &str = "g/";

/// The key of a shared record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The shared term, the base of all fencing tokens.
    Term,
    /// The cloud's machine types.
    MachineTypes,
    /// What controllers share about provisioning.
    Provisioning,
    /// A job, by its id.
    Job(String),
    /// A chunk of a job's tasks, by the job's id and the chunk's number.
    Chunk(String, u32),
    /// Tasks of a job per zone, by the job's id.
    ZoneSpread(String),
    /// A machine, by its name.
    Machine(String),
    /// What a team uses, by its name.
    Team(String),
    /// A request for instances, by its number.
    InstanceRequest(u64),
    /// The latest format that a controller reads, by its name. Versions before format 2 ignore keys
    /// of this kind.
    Format(String),
    /// Once on record, cancellations are confirmed when all tasks are gone; see
    /// `jobs::cancellation`. Versions before format 3 ignore it.
    CancellationConfirmation,
    /// What is known of a class's run times, by a hash of team and class. Versions that don't know
    /// keys of this kind ignore them, and no decision depends on them.
    RunTimes(u64),
    /// The version of the configuration that is in force.
    Configuration,
    /// A page of a version of the configuration, by version and number.
    ConfigurationPage(u64, u32),
    /// Once on record, configurations may be. Versions before format 4 ignore it, as all keys of
    /// configurations.
    ConfigurationEnabled,
    /// The version of the configuration that a controller follows.
    ObservedVersion(String),
}

/// A name as a part of a path: bytes other than letters, digits, `-`, `_` and `.` as `~` and two
/// hexadecimal digits.
pub(crate) fn escape(s: &str) -> String {
    let mut out = String::with_capacity(s.len());
    for b in s.bytes() {
        if b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.' {
            out.push(b as char);
        } else {
            out.push_str(&format!("~{b:02x}"));
        }
    }
    out
}

/// The name that `escape` made a part of a path from; none for what it can't have made.
pub(crate) fn unescape(s: &str) -> Option<String> {
    let mut out = Vec::with_capacity(s.len());
    let mut bytes = s.bytes();
    while let Some(b) = bytes.next() {
        if b == b'~' {
            let hi = (bytes.next()? as char).to_digit(16)?;
            let lo = (bytes.next()? as char).to_digit(16)?;
            out.push((hi * 16 + lo) as u8);
        } else {
            out.push(b);
        }
    }
    String::from_utf8(out).ok()
}

impl Key {
    /// The path under which the state service stores the record.
    pub fn path(&self) -> String {
        match self {
            Key::Term => "g/term".into(),
            Key::MachineTypes => "g/types".into(),
            Key::Provisioning => "g/fleet".into(),
            Key::Job(id) => format!("g/job/{id}"),
            Key::Chunk(id, n) => format!("g/chunk/{id}/{n:04}"),
            Key::ZoneSpread(id) => format!("g/place/{id}"),
            Key::Machine(id) => format!("g/machine/{}", escape(id)),
            Key::Team(name) => format!("g/team/{}", escape(name)),
            Key::InstanceRequest(n) => format!("g/hire/{n:08}"),
            Key::Format(controller) => format!("g/format/{}", escape(controller)),
            Key::CancellationConfirmation => "g/settled".into(),
            Key::RunTimes(class) => format!("g/runs/{class:016x}"),
            Key::Configuration => "g/configuration".into(),
            Key::ConfigurationPage(version, n) => format!("g/configuration/{version:010}/{n:03}"),
            Key::ConfigurationEnabled => "g/configurable".into(),
            Key::ObservedVersion(controller) => format!("g/following/{}", escape(controller)),
        }
    }

    /// The key of a path; none for paths of no kind that this version knows.
    pub fn parse(path: &str) -> Option<Key> {
        let mut parts = path.strip_prefix(PREFIX)?.split('/');
        let kind = parts.next()?;
        let key = match (kind, parts.next(), parts.next()) {
            ("term", None, None) => Key::Term,
            ("types", None, None) => Key::MachineTypes,
            ("fleet", None, None) => Key::Provisioning,
            ("job", Some(id), None) => Key::Job(id.into()),
            ("chunk", Some(id), Some(n)) => Key::Chunk(id.into(), n.parse().ok()?),
            ("place", Some(id), None) => Key::ZoneSpread(id.into()),
            ("machine", Some(id), None) => Key::Machine(unescape(id)?),
            ("team", Some(name), None) => Key::Team(unescape(name)?),
            ("hire", Some(n), None) => Key::InstanceRequest(n.parse().ok()?),
            ("format", Some(controller), None) => Key::Format(unescape(controller)?),
            ("settled", None, None) => Key::CancellationConfirmation,
            ("runs", Some(class), None) if class.len() == 16 => {
                Key::RunTimes(u64::from_str_radix(class, 16).ok()?)
            }
            ("configuration", None, None) => Key::Configuration,
            ("configuration", Some(version), Some(n)) => {
                Key::ConfigurationPage(version.parse().ok()?, n.parse().ok()?)
            }
            ("configurable", None, None) => Key::ConfigurationEnabled,
            ("following", Some(controller), None) => Key::ObservedVersion(unescape(controller)?),
            _ => return None,
        };
        Some(key)
    }
}
