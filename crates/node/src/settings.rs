//! Settings of the daemons, from flags and environment variables.

use std::net::SocketAddr;

use clap::Args;
use clap::Parser;
use log::LevelFilter;

use nutmegwalk_base::DataCentreId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::ProcessId;
use nutmegwalk_base::RackId;
use nutmegwalk_base::RegionId;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_base::secret::Secret;

/// Minimum length of the shared secret, in bytes.
const MIN_SECRET_BYTES: usize = 8;

/// Settings that all daemons share.
#[derive(Args, Clone, Debug)]
pub struct CommonSettings {
    /// Name of this process, unique in the deployment.
    #[arg(long, env = "NUTMEGWALK_NAME")]
    pub name: ProcessId,
    /// Address and port to listen on.
    #[arg(long, env = "NUTMEGWALK_LISTEN")]
    pub listen: SocketAddr,
    /// Data centre that this process runs in.
    #[arg(long, env = "NUTMEGWALK_DATA_CENTRE")]
    pub data_centre: DataCentreId,
    /// Region of the data centre.
    #[arg(long, env = "NUTMEGWALK_REGION")]
    pub region: RegionId,
    /// Address of the platform's table service and object store.
    #[arg(long, env = "NUTMEGWALK_STORE")]
    pub store: SocketAddr,
    /// Secret shared by all processes of the deployment.
    #[arg(long, env = "NUTMEGWALK_SECRET", hide_env_values = true)]
    pub secret: Secret,
    /// Level of the log: error, warn, info, debug or trace.
    #[arg(long, env = "NUTMEGWALK_LOG_LEVEL", default_value = "info")]
    pub log_level: LevelFilter,
    /// Maximum time for requests in flight to finish during a planned stop, in milliseconds.
    #[arg(long, env = "NUTMEGWALK_DRAIN_MS", default_value_t = 30_000)]
    pub drain_ms: u64,
}

impl CommonSettings {
    fn check(&self) -> Result<()> {
        check_name("--name", &self.name)?;
        check_name("--data-centre", &self.data_centre)?;
        check_name("--region", &self.region)?;
        if self.secret.expose().len() < MIN_SECRET_BYTES {
            return Err(invalid(
                "--secret",
                &format!("has to have at least {MIN_SECRET_BYTES} bytes"),
            ));
        }
        Ok(())
    }
}

/// Settings of an entry host.
#[derive(Clone, Debug, Parser)]
#[command(name = "nutmegwalk-entry", version, about = "Entry host of nutmegwalk")]
pub struct EntrySettings {
    /// Settings that all daemons share.
    #[command(flatten)]
    pub common: CommonSettings,
    /// Digest of the token of the operator who may publish the first configuration.
    #[arg(long, env = "NUTMEGWALK_BOOTSTRAP_OPERATOR_DIGEST")]
    pub bootstrap_operator_digest: Option<Box<str>>,
    /// Addresses of the other entry hosts, which share the guaranteed call rates between them.
    #[arg(long = "peer", env = "NUTMEGWALK_PEERS", value_delimiter = ',')]
    pub peers: Vec<SocketAddr>,
}

impl EntrySettings {
    /// Checks the constraints that the parser does not enforce.
    ///
    /// # Errors
    /// `invalid_setting`; the detail names the flag.
    pub fn check(&self) -> Result<()> {
        self.common.check()?;
        if let Some(digest) = &self.bootstrap_operator_digest
            && (digest.len() != 64 || !digest.bytes().all(|byte| byte.is_ascii_hexdigit()))
        {
            return Err(invalid(
                "--bootstrap-operator-digest",
                "has to be 64 hexadecimal digits",
            ));
        }
        Ok(())
    }
}

/// Settings of an agent.
#[derive(Clone, Debug, Parser)]
#[command(
    name = "nutmegwalk-agent",
    version,
    about = "Agent of nutmegwalk beside a worker and its backend server"
)]
pub struct AgentSettings {
    /// Settings that all daemons share.
    #[command(flatten)]
    pub common: CommonSettings,
    /// Name of the worker beside this agent.
    #[arg(long, env = "NUTMEGWALK_WORKER")]
    pub worker: WorkerId,
    /// Rack of the worker.
    #[arg(long, env = "NUTMEGWALK_RACK")]
    pub rack: RackId,
    /// Address of the worker's control interface.
    #[arg(long, env = "NUTMEGWALK_WORKER_ADDRESS")]
    pub worker_address: SocketAddr,
    /// Processor cores of the worker.
    #[arg(long, env = "NUTMEGWALK_CORES")]
    pub cores: u32,
    /// Memory of the worker in megabytes.
    #[arg(long, env = "NUTMEGWALK_MEMORY_MB")]
    pub memory_mb: u64,
    /// Accelerators of the worker.
    #[arg(long, env = "NUTMEGWALK_ACCELERATORS")]
    pub accelerators: u32,
    /// Addresses of the entry hosts to use: those of the agent's region, if there are any.
    #[arg(
        long = "entry",
        env = "NUTMEGWALK_ENTRIES",
        value_delimiter = ',',
        required = true
    )]
    pub entries: Vec<SocketAddr>,
    /// Addresses of entry hosts in other regions, used only when no other entry host answers.
    #[arg(
        long = "far-entry",
        env = "NUTMEGWALK_FAR_ENTRIES",
        value_delimiter = ','
    )]
    pub far_entries: Vec<SocketAddr>,
}

impl AgentSettings {
    /// Checks the constraints that the parser does not enforce.
    ///
    /// # Errors
    /// `invalid_setting`; the detail names the flag.
    pub fn check(&self) -> Result<()> {
        self.common.check()?;
        check_name("--worker", &self.worker)?;
        check_name("--rack", &self.rack)?;
        if self.cores == 0 {
            return Err(invalid("--cores", "has to be at least 1"));
        }
        if self.memory_mb == 0 {
            return Err(invalid("--memory-mb", "has to be at least 1"));
        }
        Ok(())
    }
}

/// Checks a name, which becomes part of row keys and paths.
fn check_name(flag: &str, name: &str) -> Result<()> {
    let valid = !name.is_empty()
        && name.len() <= 63
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
    if valid {
        return Ok(());
    }
    Err(invalid(
        flag,
        &format!("`{name}` is not a name: use 1 to 63 letters, digits, `-`, `_` or `.`"),
    ))
}

fn invalid(flag: &str, problem: &str) -> Error {
    Error::new(ErrorKind::InvalidSetting, format!("{flag} {problem}"))
}
