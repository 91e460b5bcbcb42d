//! Plays one case of the review: `case NAME FOLDER`. Exit status: 1 if the rule was broken, 0 if it held,
//! 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.
mod cases;
mod http;
mod json;
mod store;
mod world;

use std::path::PathBuf;
use std::time::Duration;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (args.get(1).cloned(), args.get(2)) else {
        eprintln!("usage: case NAME FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("millethold-case-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let record = PathBuf::from(folder).join("record.txt");
    // A case that hangs is ended with all that it started.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(117));
        world::end_all();
        println!("the case took too long");
        std::process::exit(2);
    });
    let outcome = std::panic::catch_unwind(|| cases::play(&name, temporary.clone(), record, trouble));
    let status = match outcome {
        Ok(status) => status,
        Err(_) => 2,
    };
    std::thread::sleep(Duration::from_millis(50));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("kept: {}", temporary.display());
    }
    std::process::exit(status);
}
