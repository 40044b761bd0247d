//! Adapter for the simulator: reads its events on standard input and writes actions to standard output, with one
//! [`Controller`] per instance.
//!
//! It only translates; all decisions are made by the controllers.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use salttally::controller::Controller;
use salttally::interface::{Action, Event, Micros, ServerEntry};
use wire::{Line, WireError};

struct Adapter {
    controllers: BTreeMap<String, Controller>,
    lists: BTreeMap<u64, Vec<ServerEntry>>,
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    fn apply_event(&mut self, now: Micros, line: &Line<'_>) -> Result<(), WireError> {
        let instance = line.text("i")?;
        match line.name {
            "born" => {
                let settings = wire::settings(line)?;
                let seed = line.number::<u64>("seed")?;
                self.controllers.insert(instance.to_owned(), Controller::new(settings, seed));
                return Ok(());
            }
            "killed" => {
                self.controllers.remove(instance).ok_or_else(|| line.bad("i", "unknown instance"))?;
                return Ok(());
            }
            _ => {}
        }
        let event: Event = wire::event(line, &self.lists)?;
        let controller =
            self.controllers.get_mut(instance).ok_or_else(|| line.bad("i", "unknown instance"))?;
        controller.handle(now, &event, &mut self.actions);
        for action in self.actions.drain(..) {
            wire::write_action(&mut self.reply, instance, &action);
        }
        Ok(())
    }
}

fn read_line(
    input: &mut impl BufRead,
    buffer: &mut String,
    line_number: &mut u64,
) -> Result<bool, WireError> {
    buffer.clear();
    *line_number += 1;
    let read = input.read_line(buffer).map_err(|e| WireError::new(*line_number, "line", &e.to_string()))?;
    if read > 0 && !buffer.ends_with('\n') {
        return Err(WireError::new(*line_number, "line", "cut short"));
    }
    while buffer.ends_with('\n') || buffer.ends_with('\r') {
        buffer.pop();
    }
    Ok(read > 0)
}

fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), WireError> {
    let mut adapter = Adapter {
        controllers: BTreeMap::new(),
        lists: BTreeMap::new(),
        actions: Vec::new(),
        reply: String::new(),
    };
    let (mut buffer, mut line_number) = (String::new(), 0u64);
    while read_line(input, &mut buffer, &mut line_number)? {
        if buffer.is_empty() {
            continue;
        }
        let clock = Line::parse(&buffer, line_number)?;
        if clock.name != "clock" {
            return Err(WireError::new(line_number, clock.name, "a batch must begin with clock"));
        }
        let now = clock.moment("at_time_ms")?;
        let round = clock.number::<u64>("round")?;
        loop {
            if !read_line(input, &mut buffer, &mut line_number)? {
                return Err(WireError::new(line_number, "end", "the input stops inside a batch"));
            }
            let line = Line::parse(&buffer, line_number)?;
            match line.name {
                "end" => break,
                "directory" => {
                    let sheet = line.number::<u64>("sheet")?;
                    let count = line.number::<u64>("entries")?;
                    let mut entries = Vec::new();
                    for _ in 0..count {
                        if !read_line(input, &mut buffer, &mut line_number)? {
                            return Err(WireError::new(
                                line_number,
                                "server",
                                "the input stops inside a list",
                            ));
                        }
                        entries.push(wire::entry(&Line::parse(&buffer, line_number)?)?);
                    }
                    adapter.lists.insert(sheet, entries);
                }
                _ => adapter.apply_event(now, &line)?,
            }
        }
        adapter.reply.push_str(&format!("next round={round}\n"));
        output
            .write_all(adapter.reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| WireError::new(line_number, "reply", &e.to_string()))?;
        adapter.reply.clear();
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
