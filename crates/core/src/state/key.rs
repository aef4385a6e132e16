//! Keys of the shared records and the paths under which the state service has them.

/// All keys of the project stand under this prefix; one watch follows them all.
pub const PREFIX: &str = "g/";

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    Term,
    Types,
    Fleet,
    Job(String),
    Chunk(String, u32),
    Place(String),
    Machine(String),
    Team(String),
    Hire(u64),
    /// Of a node. Versions before format 2 pass over keys of this kind.
    Format(String),
    /// Once on record, cancellations are told when all tasks are gone; see `cancels`. Versions
    /// before format 3 pass over it.
    Settled,
    /// What is learned of a class's run times, by a hash of team and class. Versions before it came
    /// pass over keys of this kind, and nothing rests on them.
    Runs(u64),
    /// The version of the configuration that is in force.
    Configuration,
    /// A page of a version of the configuration, by version and number.
    ConfigurationPage(u64, u32),
    /// Once on record, configurations may be. Versions before format 4 pass over it, as over all keys of
    /// configurations.
    Configurable,
    /// The version of the configuration that a node follows.
    Following(String),
}

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
    pub fn path(&self) -> String {
        match self {
            Key::Term => "g/term".into(),
            Key::Types => "g/types".into(),
            Key::Fleet => "g/fleet".into(),
            Key::Job(id) => format!("g/job/{id}"),
            Key::Chunk(id, n) => format!("g/chunk/{id}/{n:04}"),
            Key::Place(id) => format!("g/place/{id}"),
            Key::Machine(id) => format!("g/machine/{}", escape(id)),
            Key::Team(name) => format!("g/team/{}", escape(name)),
            Key::Hire(n) => format!("g/hire/{n:08}"),
            Key::Format(node) => format!("g/format/{}", escape(node)),
            Key::Settled => "g/settled".into(),
            Key::Runs(class) => format!("g/runs/{class:016x}"),
            Key::Configuration => "g/configuration".into(),
            Key::ConfigurationPage(version, n) => format!("g/configuration/{version:010}/{n:03}"),
            Key::Configurable => "g/configurable".into(),
            Key::Following(node) => format!("g/following/{}", escape(node)),
        }
    }

    pub fn parse(path: &str) -> Option<Key> {
        let mut parts = path.strip_prefix(PREFIX)?.split('/');
        let kind = parts.next()?;
        let key = match (kind, parts.next(), parts.next()) {
            ("term", None, None) => Key::Term,
            ("types", None, None) => Key::Types,
            ("fleet", None, None) => Key::Fleet,
            ("job", Some(id), None) => Key::Job(id.into()),
            ("chunk", Some(id), Some(n)) => Key::Chunk(id.into(), n.parse().ok()?),
            ("place", Some(id), None) => Key::Place(id.into()),
            ("machine", Some(id), None) => Key::Machine(unescape(id)?),
            ("team", Some(name), None) => Key::Team(unescape(name)?),
            ("hire", Some(n), None) => Key::Hire(n.parse().ok()?),
            ("format", Some(node), None) => Key::Format(unescape(node)?),
            ("settled", None, None) => Key::Settled,
            ("runs", Some(class), None) if class.len() == 16 => {
                Key::Runs(u64::from_str_radix(class, 16).ok()?)
            }
            ("configuration", None, None) => Key::Configuration,
            ("configuration", Some(version), Some(n)) => {
                Key::ConfigurationPage(version.parse().ok()?, n.parse().ok()?)
            }
            ("configurable", None, None) => Key::Configurable,
            ("following", Some(node), None) => Key::Following(unescape(node)?),
            _ => return None,
        };
        Some(key)
    }
}
