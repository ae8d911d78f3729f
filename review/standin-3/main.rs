//! Stand-ins of the third review and its cases. `standin CASE FOLDER` plays a case and writes
//! FOLDER/record.txt. Exits with 1 if a rule was broken, 0 if not, 2 if the case couldn't run.

mod client;
mod delayed;
mod endpoint;
mod flows;
mod history;
mod http;
mod json;
mod lifted;
mod packet;
mod record;
mod rolled;
mod store;
mod upgraded;
mod world;

use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&world::record_path(folder)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "delayed" => delayed::play(&record),
        "history" => history::play(&record),
        "lifted" => lifted::play(&record),
        "rolled" => rolled::play(&record),
        "upgraded" => upgraded::play(&record),
        _ => Err(std::io::Error::other("no such case")),
    };
    let broken = record.broken_rules();
    let code = match result {
        Err(error) => {
            record.line(&format!("the case couldn't run: {error}"));
            println!("couldn't run: {error}");
            2
        }
        Ok(summary) => {
            record.line(&summary);
            println!("{summary}");
            u8::from(!broken.is_empty())
        }
    };
    record.flush();
    ExitCode::from(code)
}
