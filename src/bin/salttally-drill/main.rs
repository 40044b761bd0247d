//! Speaks the bench's wire on standard input and output; one [`Controller`] for each instance.
//!
//! It translates and nothing else: all decisions are the module's.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use salttally::controller::Controller;
use salttally::interface::{Action, Event, Micros, ServerEntry};
use wire::{Line, WireError};

struct Host {
    controllers: BTreeMap<String, Controller>,
    lists: BTreeMap<u64, Vec<ServerEntry>>,
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    fn apply(&mut self, now: Micros, line: &Line<'_>) -> Result<(), WireError> {
        let front = line.text("i")?;
        match line.name {
            "born" => {
                let settings = wire::settings(line)?;
                let seed = line.number::<u64>("seed")?;
                self.controllers.insert(front.to_owned(), Controller::new(settings, seed));
                return Ok(());
            }
            "killed" => {
                self.controllers.remove(front).ok_or_else(|| line.bad("i", "unknown instance"))?;
                return Ok(());
            }
            _ => {}
        }
        let event: Event = wire::event(line, &self.lists)?;
        let controller = self.controllers.get_mut(front).ok_or_else(|| line.bad("i", "unknown instance"))?;
        controller.handle(now, &event, &mut self.actions);
        for action in self.actions.drain(..) {
            wire::write_action(&mut self.reply, front, &action);
        }
        Ok(())
    }
}

fn read_line(input: &mut impl BufRead, buffer: &mut String, at: &mut u64) -> Result<bool, WireError> {
    buffer.clear();
    *at += 1;
    let read = input.read_line(buffer).map_err(|e| WireError::new(*at, "line", &e.to_string()))?;
    if read > 0 && !buffer.ends_with('\n') {
        return Err(WireError::new(*at, "line", "cut short"));
    }
    while buffer.ends_with('\n') || buffer.ends_with('\r') {
        buffer.pop();
    }
    Ok(read > 0)
}

fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), WireError> {
    let mut host = Host {
        controllers: BTreeMap::new(),
        lists: BTreeMap::new(),
        actions: Vec::new(),
        reply: String::new(),
    };
    let (mut buffer, mut at) = (String::new(), 0u64);
    while read_line(input, &mut buffer, &mut at)? {
        if buffer.is_empty() {
            continue;
        }
        let clock = Line::parse(&buffer, at)?;
        if clock.name != "clock" {
            return Err(WireError::new(at, clock.name, "a batch must begin with clock"));
        }
        let now = clock.time("at_time_ms")?;
        let round = clock.number::<u64>("round")?;
        loop {
            if !read_line(input, &mut buffer, &mut at)? {
                return Err(WireError::new(at, "end", "the input stops inside a batch"));
            }
            let line = Line::parse(&buffer, at)?;
            match line.name {
                "end" => break,
                "directory" => {
                    let sheet = line.number::<u64>("sheet")?;
                    let count = line.number::<u64>("entries")?;
                    let mut entries = Vec::new();
                    for _ in 0..count {
                        if !read_line(input, &mut buffer, &mut at)? {
                            return Err(WireError::new(at, "server", "the input stops inside a list"));
                        }
                        entries.push(wire::entry(&Line::parse(&buffer, at)?)?);
                    }
                    host.lists.insert(sheet, entries);
                }
                _ => host.apply(now, &line)?,
            }
        }
        host.reply.push_str(&format!("next round={round}\n"));
        output
            .write_all(host.reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| WireError::new(at, "reply", &e.to_string()))?;
        host.reply.clear();
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("salttally-drill: {error}");
            ExitCode::from(2)
        }
    }
}
