//! TCP forwarder that counts the bytes in both directions.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Forwarder to one address. Its threads end with the process or with their connections.
pub(crate) struct Forwarder {
    pub(crate) address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Forwarder {
    pub(crate) fn start(to: SocketAddr) -> Result<Self> {
        let unavailable =
            |error: std::io::Error| Error::new(ErrorKind::AddressInUse, error.to_string());
        let listener =
            TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(unavailable)?;
        let address = listener.local_addr().map_err(unavailable)?;
        let bytes = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&bytes);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if let Ok(other) = TcpStream::connect(to) {
                    copy_in_background(&stream, &other, &counter);
                    copy_in_background(&other, &stream, &counter);
                }
            }
        });
        Ok(Self { address, bytes })
    }

    /// Returns the number of bytes forwarded so far in both directions, including HTTP heads.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Copies bytes from one connection to the other on a new thread, until one of them ends.
fn copy_in_background(from: &TcpStream, to: &TcpStream, counter: &Arc<AtomicU64>) {
    let _ = from.set_nodelay(true);
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let counter = Arc::clone(counter);
    std::thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(count) = from.read(&mut buffer) {
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
            counter.fetch_add(count as u64, Ordering::Relaxed);
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    });
}
