//! Generates the message types from the schema. Compiles it with protox, so that the build does not require
//! protoc.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let schema = protox::compile(["proto/proxy.proto"], ["proto"])?;
    prost_build::Config::new().bytes(["."]).compile_fds(schema)?;
    println!("cargo:rerun-if-changed=proto/proxy.proto");
    Ok(())
}
