//! A TOML file that is watched.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use stepspur::interface::ListUpdate;

use super::{DiscoveryFuture, DiscoveryRequest, EndpointFeed, EndpointRecord, ServiceDiscovery};

/// Servers in a TOML file, one `[[node]]` each. It is looked at every so often: a change that is whole and sound is
/// told as a whole list, one that is not is a failure, and the old list stands.
///
/// A text is whole once two looks in a row have found the same: one that is still written may be cut at an entry's
/// end, which is sound TOML. Against a writer that died, the file may count its entries: `servers = 12`.
#[derive(Debug)]
pub struct FileSource {
    path: PathBuf,
    every: Duration,
}

/// The largest file that is read, in bytes.
const LARGEST: u64 = 64 << 20;
/// A text that is new is looked at again after this, or sooner.
const AGAIN: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NodeFile {
    /// How many entries there are.
    servers: Option<usize>,
    #[serde(default)]
    node: Vec<EndpointRecord>,
}

/// What is known of the file's text.
#[derive(Debug, Default)]
struct Texts {
    /// At the last look.
    seen: Option<String>,
    /// Told last.
    told: Option<String>,
}

impl FileSource {
    /// Watches a file, looking so often.
    pub fn new(path: PathBuf, every: Duration) -> Self {
        Self { path, every }
    }

    async fn read(&self) -> Result<String, String> {
        let failed = |e: std::io::Error| format!("{}: {e}", self.path.display());
        let size = tokio::fs::metadata(&self.path).await.map_err(failed)?.len();
        if size > LARGEST {
            return Err(format!("{}: {size} bytes are more than {LARGEST}", self.path.display()));
        }
        tokio::fs::read_to_string(&self.path).await.map_err(failed)
    }

    /// Looks at the file and tells its list, if it is whole and news, or asked for. False: not whole yet.
    async fn tell(&self, feed: &EndpointFeed, texts: &mut Texts, asked: bool) -> Result<bool, String> {
        let text = self.read().await?;
        if texts.seen.as_ref() != Some(&text) {
            texts.seen = Some(text);
            return Ok(false);
        }
        if !asked && texts.told.as_ref() == Some(&text) {
            return Ok(true);
        }
        let failed = |what: String| format!("{}: {what}", self.path.display());
        let file: NodeFile = toml::from_str(&text).map_err(|e| failed(e.to_string()))?;
        if let Some(counted) = file.servers.filter(|n| *n != file.node.len()) {
            return Err(failed(format!("`servers` counts {counted}, and {} are listed", file.node.len())));
        }
        feed.news.list(ListUpdate::Full, file.node.into_iter().map(Into::into).collect()).await;
        texts.told = Some(text);
        Ok(true)
    }

    async fn serve(self, mut feed: EndpointFeed) {
        let (mut tracking, mut asked, mut whole) = (false, false, true);
        let mut texts = Texts::default();
        loop {
            let pause = if whole { self.every } else { self.every.min(AGAIN) };
            let ask = tokio::select! {
                () = feed.stop.cancelled() => return,
                ask = feed.asks.recv() => match ask {
                    Some(ask) => Some(ask),
                    None => return,
                },
                () = tokio::time::sleep(pause), if tracking || asked => None,
            };
            // Each ask has its answer, also if nothing is new.
            asked |= ask.is_some();
            tracking |= ask == Some(DiscoveryRequest::Track);
            match self.tell(&feed, &mut texts, asked).await {
                Ok(settled) => (whole, asked) = (settled, asked && !settled),
                Err(cause) => {
                    (tracking, asked, whole) = (false, false, true);
                    feed.news.failed(cause).await;
                }
            }
        }
    }
}

impl ServiceDiscovery for FileSource {
    fn run(self: Box<Self>, feed: EndpointFeed) -> DiscoveryFuture {
        Box::pin(self.serve(feed))
    }
}
