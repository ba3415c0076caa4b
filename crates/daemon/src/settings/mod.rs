//! The settings file with flags over it: parsed once, when the node starts, into checked values.
//!
//! One file for each table of the settings, with its keys, defaults and bounds; `reader` takes values out of the table. Every
//! problem of a file is reported at once, each with its key and its remedy. Imports no other part of the node but the
//! roles and capacity of `cluster`; docs/operators/settings.md lists every key, and a test keeps that list complete.

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

/// The notice of a planned stop where nothing outside the process watches. Chosen: long enough that a stop has two
/// stages also in tests, short enough that they don't wait for it.
const LOOPBACK_NOTICE: Duration = Duration::from_millis(200);

/// Checked settings of one node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's name, unique in the cluster.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Which regions it and the zones lie in.
    pub places: PlaceSettings,
    /// What it does; any mix.
    pub roles: Roles,
    /// Where it listens.
    pub addresses: ListenAddresses,
    /// Where load balancers ask whether the node is ready, beside the operators' address.
    pub readiness: Option<SocketAddr>,
    /// The folder for bulk data; set wherever the store role is on.
    pub data_folder: Option<PathBuf>,
    /// The platform's services.
    pub platform: PlatformAddresses,
    /// What the machine gives this process.
    pub machine: MachineSettings,
    /// Connections to other nodes, and where the first of them are found.
    pub peers: PeerSettings,
    /// Callers' requests.
    pub gateway: GatewaySettings,
    /// Liveness of nodes.
    pub membership: MembershipSettings,
    /// The settings tree and the replica directory.
    pub configuration: ConfigurationSettings,
    /// Shards of control work.
    pub coordinator: CoordinatorSettings,
    /// Batch jobs.
    pub batch: BatchSettings,
    /// Logs and claims on disk.
    pub store: StoreSettings,
    /// Planned stop.
    pub stop: StopSettings,
    /// Duties towards the platform.
    pub duties: DutySettings,
}

/// Where a node listens. Port 0 lets the system choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Callers, over HTTP.
    pub callers: SocketAddr,
    /// Operators, over HTTP.
    pub operators: SocketAddr,
    /// Other nodes, over TCP for requests and over UDP for membership.
    pub peers: SocketAddr,
}

/// The platform's services. A node without one of them does without what it gives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// The object API.
    pub object_api: Option<SocketAddr>,
    /// The machine list.
    pub machine_list: Option<SocketAddr>,
    /// The weight store. Accepted and without effect: no part of a node reads it.
    pub weight_store: Option<SocketAddr>,
    /// The scorer of answers.
    pub scorer: Option<SocketAddr>,
    /// The platform's metadata store. Where it is set, callers and replicas are met in the platform's own form.
    pub metadata_store: Option<SocketAddr>,
}

impl Settings {
    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    /// When the text is not TOML, or with every problem of its values.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let table = text.parse::<toml::Table>()?;
        Self::from_table(table)
    }

    /// Checks a parsed file, over which flags may have been laid.
    ///
    /// # Errors
    /// With every problem of its values.
    pub fn from_table(table: toml::Table) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::new(table);
        let mut settings = Self::read(&mut reader);
        settings.places.settle(&mut reader, &settings.zone);
        settings.check(&mut reader);
        reader.finish()?;
        Ok(settings)
    }

    /// Settings for a node inside a test or a demonstration: every role that needs no disk, loopback, free ports, and
    /// a short notice, since no load balancer has to see it.
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

    /// Every key that a settings file may hold.
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

    /// What no single key can tell.
    fn check(&self, reader: &mut SettingsReader) {
        if self.roles.store && self.data_folder.is_none() {
            reader.problem(
                "data_folder",
                "the store role keeps logs on disk, and no folder is named",
                "name a folder on the machine's disk, or take \"store\" out of `roles`",
            );
        }
        if !self.roles.store && self.data_folder.is_some() {
            reader.problem(
                "data_folder",
                "a folder is named, and no role uses it",
                "add \"store\" to `roles`, or remove the key",
            );
        }
        if self.membership.probe_timeout * 2 > self.membership.probe_interval {
            reader.problem(
                "membership.probe_timeout_ms",
                "a probe must leave time to try it through others before the next one starts",
                "make it at most half of `membership.probe_interval_ms`",
            );
        }
        if self.duties.lacks_platform() {
            reader.problem(
                "duties.platform",
                "duties are held, and nobody takes their calls",
                "name the platform's address, or remove `duties.held`",
            );
        }
        if let Err(error) = self.store.claim_window.validate() {
            let remedy = "raise it above twice `store.maximum_clock_skew_ms`";
            reader.problem("store.claim_retention_ms", error.to_string(), remedy);
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
                let message = format!("{address} is taken by `{other_key}` already");
                reader.problem(key, message, "give each address a port of its own, or port 0 for a free one");
            }
        }
    }
}

fn read_roles(reader: &mut SettingsReader) -> Roles {
    let mut roles = Roles::default();
    let names = reader.text_list("roles");
    if names.is_empty() && !reader.has_problem("roles") {
        reader.problem(
            "roles",
            "no role is named",
            "name one or more of \"gateway\", \"coordinator\", \"store\"",
        );
    }
    for name in names {
        match name.as_str() {
            "gateway" => roles.gateway = true,
            "coordinator" => roles.coordinator = true,
            "store" => roles.store = true,
            other => reader.problem(
                "roles",
                format!("\"{other}\" is no role"),
                "use \"gateway\", \"coordinator\" or \"store\"",
            ),
        }
    }
    roles
}
