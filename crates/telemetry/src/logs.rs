use std::{
    fmt,
    io::{self, Write},
    str::FromStr,
};

use base::ParseError;
use eyre::WrapErr as _;
use log::{
    LevelFilter, Record,
    kv::{self, Key, Value, VisitSource},
};

use crate::{LogBudget, LogGuard, LogQueue};

/// Initial capacity of a line's buffer, in bytes; most lines fit.
const LINE_CAPACITY_BYTES: usize = 256;

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs; values with special characters are quoted.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

/// Starts logging to standard output; lines are dropped rather than block the caller.
///
/// The last lines are written when the guard is dropped.
///
/// A line about a request carries its id: `log::info!(request_id:% = id; "answered")`.
///
/// # Errors
///
/// Returns an error if a logger was started before.
pub fn init_logs(format: LogFormat, level: LevelFilter) -> eyre::Result<LogGuard> {
    let (queue, guard) = LogQueue::start(io::stdout(), LogBudget::default())
        .wrap_err("cannot start the log writer")?;
    env_logger::Builder::new()
        .filter_level(level)
        .format(move |buf, record| {
            let time = buf.timestamp_millis().to_string();
            let mut line = Vec::with_capacity(LINE_CAPACITY_BYTES);
            format.write_record(&mut line, &time, record)?;
            queue.push(record.level(), line);
            Ok(())
        })
        .try_init()
        .wrap_err("cannot start logging")?;
    Ok(guard)
}

impl LogFormat {
    /// Writes `record` as one line.
    ///
    /// Values are escaped, so that none can end the line or inject another pair.
    ///
    /// # Errors
    ///
    /// Returns an error if writing to `out` fails.
    pub fn write_record<W: Write>(
        self,
        out: &mut W,
        time: &str,
        record: &Record<'_>,
    ) -> io::Result<()> {
        let mut line = Line { format: self, text: String::new() };
        line.pair("time", time);
        line.pair("level", &record.level().as_str().to_ascii_lowercase());
        line.pair("target", record.target());
        line.pair("event", &record.args().to_string());
        // The visitor never fails, so neither does the visit.
        let _ = record.key_values().visit(&mut line);
        match self {
            Self::Text => writeln!(out, "{}", line.text),
            Self::Json => writeln!(out, "{{{}}}", line.text),
        }
    }
}

struct Line {
    format: LogFormat,
    text: String,
}

impl Line {
    fn pair(&mut self, key: &str, value: &str) {
        self.key(key);
        match self.format {
            LogFormat::Text if is_plain(value) => self.text.push_str(value),
            LogFormat::Text => self.text.push_str(&format!("{value:?}")),
            LogFormat::Json => push_json(&mut self.text, value),
        }
    }

    fn number(&mut self, key: &str, value: impl fmt::Display) {
        self.key(key);
        self.text.push_str(&value.to_string());
    }

    fn key(&mut self, key: &str) {
        if !self.text.is_empty() {
            self.text.push(if self.format == LogFormat::Json { ',' } else { ' ' });
        }
        match self.format {
            LogFormat::Text => {
                let sanitised = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
                self.text.extend(key.chars().map(sanitised));
                self.text.push('=');
            }
            LogFormat::Json => {
                push_json(&mut self.text, key);
                self.text.push(':');
            }
        }
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        if let Some(number) = value.to_u64() {
            self.number(key.as_str(), number);
        } else if let Some(number) = value.to_i64() {
            self.number(key.as_str(), number);
        } else if let Some(number) = value.to_f64().filter(|number| number.is_finite()) {
            self.number(key.as_str(), number);
        } else if let Some(flag) = value.to_bool() {
            self.number(key.as_str(), flag);
        } else {
            self.pair(key.as_str(), &value.to_string());
        }
        Ok(())
    }
}

fn is_plain(value: &str) -> bool {
    !value.is_empty()
        && value.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"._-:/+@".contains(&byte))
}

fn push_json(text: &mut String, value: &str) {
    text.push('"');
    for c in value.chars() {
        match c {
            '"' | '\\' => text.extend(['\\', c]),
            ' '..='~' => text.push(c),
            _ if c.is_alphanumeric() => text.push(c),
            _ => {
                let mut units = [0; 2];
                let units = c.encode_utf16(&mut units);
                text.extend(units.iter().map(|unit| format!("\\u{unit:04x}")));
            }
        }
    }
    text.push('"');
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

impl FromStr for LogFormat {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(ParseError::new("log format", text, "text or json")),
        }
    }
}
