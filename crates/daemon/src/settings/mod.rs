//! Settings of a node: the settings file with command-line flags applied, parsed and validated once at start.
//!
//! Each table of the file has a module that holds its keys, defaults and bounds; `reader` extracts typed values. All
//! problems of a file are reported at once, each with its key and a remedy. Depends only on the roles and the capacity of
//! `cluster`. docs/operators/settings.md lists every key; a test checks that the list is complete.

mod control;
mod duties;
mod machine;
mod network;
mod places;
mod problem;
mod reader;
mod store;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lichenpulley_core::identity::{NodeId, ZoneName};

use crate::cluster::Roles;
pub use control::{BatchSettings, ConfigurationSettings, CoordinatorSettings, StopSettings};
pub use duties::DutySettings;
pub use machine::MachineSettings;
pub use network::{GatewaySettings, MembershipSettings, PeerSettings};
pub use places::PlaceSettings;
pub use problem::{SettingsError, SettingsProblem};
use reader::SettingsReader;
pub use reader::{Bounds, KnownKey};
pub use store::StoreSettings;

/// Notice of a planned stop in tests and demonstrations, which have no load balancer.
const LOOPBACK_NOTICE: Duration = Duration::from_millis(200);

/// Validated settings of one node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id of this node, unique in the cluster.
    pub node: NodeId,
    /// Zone of this node.
    pub zone: ZoneName,
    /// Regions of this node and of the zones.
    pub places: PlaceSettings,
    /// Roles of this node, in any combination.
    pub roles: Roles,
    /// Listen addresses.
    pub addresses: ListenAddresses,
    /// Additional listen address for readiness checks of load balancers.
    pub readiness: Option<SocketAddr>,
    /// Folder of the store's logs; set exactly when the node has the store role.
    pub data_folder: Option<PathBuf>,
    /// Addresses of the platform's services.
    pub platform: PlatformAddresses,
    /// Resources of the machine that are available to this process.
    pub machine: MachineSettings,
    /// Connections to other nodes, and the seed nodes.
    pub peers: PeerSettings,
    /// Limits and timeouts of callers' requests.
    pub gateway: GatewaySettings,
    /// Failure detection of nodes.
    pub membership: MembershipSettings,
    /// The settings tree and the replica directory.
    pub configuration: ConfigurationSettings,
    /// Control shards of the native API.
    pub coordinator: CoordinatorSettings,
    /// Batch jobs.
    pub batch: BatchSettings,
    /// Logs and claims on disk, and the choice of replica sets.
    pub store: StoreSettings,
    /// Planned stop.
    pub stop: StopSettings,
    /// Usage reports and scaling for the platform.
    pub duties: DutySettings,
}

/// Listen addresses of a node. Port 0 lets the operating system choose one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address for callers, over HTTP.
    pub callers: SocketAddr,
    /// Address for operators, over HTTP.
    pub operators: SocketAddr,
    /// Address for other nodes: TCP for requests, UDP for membership.
    pub peers: SocketAddr,
}

/// Addresses of the platform's services. Each is optional; features that need an absent service are disabled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// The object API.
    pub object_api: Option<SocketAddr>,
    /// The machine list.
    pub machine_list: Option<SocketAddr>,
    /// The weight store. Accepted but unused.
    pub weight_store: Option<SocketAddr>,
    /// The scorer of answers.
    pub scorer: Option<SocketAddr>,
    /// The platform's metadata store. When set, the node serves the platform's API to callers and finds replicas there.
    pub metadata_store: Option<SocketAddr>,
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// Returns a syntax error if the text is not valid TOML, else all problems of its values.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let table = text.parse::<toml::Table>()?;
        Self::from_table(table)
    }

    /// Validates a parsed settings file, to which flags may have been applied.
    ///
    /// # Errors
    /// Returns all problems of its values.
    pub fn from_table(table: toml::Table) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::new(table);
        let mut settings = Self::read(&mut reader);
        settings.places.resolve_region(&mut reader, &settings.zone);
        settings.check(&mut reader);
        reader.finish()?;
        Ok(settings)
    }

    /// Returns settings for a node in a test or a demonstration: every role that needs no disk, free ports on the
    /// loopback interface, and a short notice.
    pub fn on_loopback(node: &str, zone: &str) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut reader = SettingsReader::new(toml::Table::new());
        let mut settings = Self::read(&mut reader);
        settings.node = NodeId::new(node);
        settings.zone = ZoneName::new(zone);
        settings.roles = Roles { gateway: true, coordinator: true, store: false };
        settings.addresses = ListenAddresses { callers: loopback, operators: loopback, peers: loopback };
        settings.stop.notice = LOOPBACK_NOTICE;
        settings
    }

    /// Returns every key that a settings file may hold.
    pub fn known_keys() -> Vec<KnownKey> {
        let mut reader = SettingsReader::new(toml::Table::new());
        Self::read(&mut reader);
        reader.known_keys().to_vec()
    }

    fn read(reader: &mut SettingsReader) -> Self {
        Self {
            node: NodeId::new(reader.name("node")),
            zone: ZoneName::new(reader.name("zone")),
            places: PlaceSettings::read(reader),
            roles: read_roles(reader),
            addresses: ListenAddresses {
                callers: reader.listen_address("addresses.callers"),
                operators: reader.listen_address("addresses.operators"),
                peers: reader.listen_address("addresses.peers"),
            },
            readiness: reader.service_address("addresses.readiness"),
            data_folder: reader.optional_text("data_folder").map(PathBuf::from),
            platform: PlatformAddresses {
                object_api: reader.service_address("platform.object_api"),
                machine_list: reader.service_address("platform.machine_list"),
                weight_store: reader.service_address("platform.weight_store"),
                scorer: reader.service_address("platform.scorer"),
                metadata_store: reader.service_address("platform.metadata_store"),
            },
            machine: MachineSettings::read(reader),
            peers: PeerSettings::read(reader),
            gateway: GatewaySettings::read(reader),
            membership: MembershipSettings::read(reader),
            configuration: ConfigurationSettings::read(reader),
            coordinator: CoordinatorSettings::read(reader),
            batch: BatchSettings::read(reader),
            store: StoreSettings::read(reader),
            duties: DutySettings::read(reader),
            stop: StopSettings::read(reader),
        }
    }

    /// Checks constraints between keys.
    fn check(&self, reader: &mut SettingsReader) {
        if self.roles.store && self.data_folder.is_none() {
            reader.add_problem(
                "data_folder",
                "the store role needs a folder for its logs, and none is set",
                "set it to a folder on a local disk, or remove \"store\" from `roles`",
            );
        }
        if !self.roles.store && self.data_folder.is_some() {
            reader.add_problem(
                "data_folder",
                "a folder is set, but only the store role uses one",
                "add \"store\" to `roles`, or remove the key",
            );
        }
        if self.membership.probe_timeout * 2 > self.membership.probe_interval {
            reader.add_problem(
                "membership.probe_timeout_ms",
                "the probe interval is too short for a direct probe and an indirect probe",
                "set it to at most half of `membership.probe_interval_ms`",
            );
        }
        if self.duties.lacks_platform() {
            reader.add_problem(
                "duties.platform",
                "duties are enabled without the platform's address",
                "set it to the platform's address, or remove `duties.held`",
            );
        }
        if let Err(error) = self.store.claim_window.validate() {
            let remedy = "raise it above twice `store.maximum_clock_skew_ms`";
            reader.add_problem("store.claim_retention_ms", error.to_string(), remedy);
        }
        self.check_distinct_addresses(reader);
    }

    fn check_distinct_addresses(&self, reader: &mut SettingsReader) {
        let named = [
            ("addresses.callers", self.addresses.callers),
            ("addresses.operators", self.addresses.operators),
            ("addresses.peers", self.addresses.peers),
        ];
        for (position, (key, address)) in named.iter().enumerate() {
            let earlier = named[..position].iter().find(|(_, other)| other == address);
            let Some((other_key, _)) = earlier else { continue };
            if address.port() != 0 {
                let message = format!("{address} is already used by `{other_key}`");
                reader.add_problem(
                    key,
                    message,
                    "give each address a port of its own, or port 0 for a free one",
                );
            }
        }
    }
}

fn read_roles(reader: &mut SettingsReader) -> Roles {
    let mut roles = Roles::default();
    let names = reader.text_list("roles");
    if names.is_empty() && !reader.has_problem("roles") {
        reader.add_problem(
            "roles",
            "no role is given",
            "list one or more of \"gateway\", \"coordinator\", \"store\"",
        );
    }
    for name in names {
        match name.as_str() {
            "gateway" => roles.gateway = true,
            "coordinator" => roles.coordinator = true,
            "store" => roles.store = true,
            other => reader.add_problem(
                "roles",
                format!("\"{other}\" is not a known role"),
                "use \"gateway\", \"coordinator\" or \"store\"",
            ),
        }
    }
    roles
}
