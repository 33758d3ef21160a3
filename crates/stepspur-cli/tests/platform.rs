//! `stepspur run --platform` as a process: how it starts, reads its configuration again, and ends.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

fn configuration(discovery: SocketAddr) -> String {
    let node =
        r#"{"name":"s-1","address":"127.0.0.9:9","zone":"a","status":"ready","weight":1,"since_ms":0}"#;
    let class = r#"{"name":"lookup","effect":"read_like","credit":1,"promiseUs":1e6,"deadlineUs":3e6}"#;
    let info = r#"{"admit":"rps","egressPerS":2e4,"intervalUs":2e6,"pendingMax":3e4,"perMessage":6,"proxies":4,
        "pushDelayMaxUs":5e5,"slices":0,"updateWindowUs":1e7}"#;
    format!(
        r#"{{"name":"n3","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":128}},
        "known":{{"index":1,"snapshot":true,"endpoints":[{node}]}},
        "settings":{{"balancers":1,"zones":["a"],"membershipMode":"on_request","requestClasses":[{class}],
        "familyInfo":{info},"feedback":{{"columns":[]}},"permissions":{{"probing":false}},
        "rules":{{"coldUs":1e7,"fallMultiple":3,"startCapacity":0.3}}}}}}"#
    )
}

fn command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stepspur"));
    command.args(["run", "--platform"]).env("LB_CONFIG", config);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Ended with the test, whatever becomes of it.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
}

/// Processes that any thread of this one has started.
fn children(pid: u32) -> String {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let of =
        |task: std::fs::DirEntry| std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
    tasks.flatten().map(of).collect::<String>().trim().to_owned()
}

#[test]
fn it_serves_moves_on_a_hang_up_and_ends_on_sigterm() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let [old, new] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    std::fs::write(&path, configuration(old.local_addr().unwrap())).unwrap();
    let mut running = Running(command(&path).spawn().unwrap());
    let mut line = String::new();
    let mut out = BufReader::new(running.0.stdout.take().unwrap());
    out.read_line(&mut line).unwrap();
    let said: serde_json::Value = serde_json::from_str(&line).unwrap();
    let listening: SocketAddr = said["listening"].as_str().unwrap().parse().unwrap();
    let mut beat = TcpStream::connect(listening).unwrap();
    beat.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    beat.write_all(b"{\"@type\":\"hb\"}\n").unwrap();
    let mut answer = [0; 18];
    beat.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"{\"@type\":\"hb_ok\"}\n");
    let mut watch = old.accept().unwrap().0;
    let mut asked = [0; 27];
    watch.read_exact(&mut asked).unwrap();
    assert_eq!(&asked, b"GET /v1/endpoints?watch=1&a", "the watch goes on after the known list");
    let whole = "{\"index\":2,\"snapshot\":true,\"endpoints\":[]}\n";
    let answer =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{whole}\r\n", whole.len());
    watch.write_all(answer.as_bytes()).unwrap();
    assert_eq!(children(running.0.id()), "", "one process, as the platform asks");
    // Half a file: the old one stays in force until the whole is there.
    let next = configuration(new.local_addr().unwrap());
    std::fs::write(&path, &next[..next.len() / 2]).unwrap();
    signal(&running.0, "-HUP");
    std::thread::sleep(Duration::from_millis(250));
    assert!(running.0.try_wait().unwrap().is_none(), "a configuration that cannot be read ends nothing");
    std::fs::write(&path, &next).unwrap();
    let moved = new.accept().unwrap().0;
    drop(moved);
    signal(&running.0, "-TERM");
    assert_eq!(running.0.wait().unwrap().code(), Some(0));
}

#[test]
fn a_configuration_that_cannot_be_read_is_wrong_use_with_one_plain_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, "{\"name\":\"n3\",\n \"listen\":7}").unwrap();
    let output = command(&path).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(text.contains("config.json") && text.contains("line 2") && text.lines().count() == 1, "{text}");
}
