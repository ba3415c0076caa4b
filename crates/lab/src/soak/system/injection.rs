//! Injects faults, alone or overlapping, and undoes them.

use std::time::Duration;

use rustix::process::Signal;

use super::{STOP_TIMEOUT, SoakSystem};
use crate::error::LabError;
use crate::metadata_store::ResponseMode;
use crate::platform_replica::ReplicaBehaviour;
use crate::soak::fault::{Fault, PlannedFault};
use crate::soak::node::{NodeProcess, data_folder};
use crate::soak::proxy::ProxyMode;

/// How long the system is observed for late requests of ended jobs, beyond the time limits of the guarantee.
pub(in crate::soak) const OBSERVATION_PERIOD: Duration = Duration::from_secs(3);

impl SoakSystem {
    /// Injects faults so that each begins while the one before lasts, then undoes them in the same order. Callers keep using a
    /// stopping node until it has exited.
    ///
    /// # Errors
    /// When a process exited unexpectedly or can't be restarted.
    pub(in crate::soak) async fn inject_overlapping(
        &mut self,
        faults: &[PlannedFault],
    ) -> Result<(), LabError> {
        self.check_processes_alive()?;
        for planned in faults {
            self.begin(planned.fault);
            tokio::time::sleep(planned.lasts / 2).await;
        }
        for planned in faults {
            tokio::time::sleep(planned.lasts / 2).await;
            self.finish(planned.fault).await?;
        }
        Ok(())
    }

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::KillGateway(number) => self.kill_gateway(number),
            Fault::KillStore(number) => self.stores[number] = None,
            Fault::WipeStore(number) => self.wipe_store(number),
            Fault::FreezeGateway(number) => {
                self.callers.record_freeze();
                signal(self.gateways[number].as_ref(), Signal::STOP);
            }
            Fault::FreezeStore(number) => signal(self.stores[number].as_ref(), Signal::STOP),
            Fault::FreezeStores => self.stores.iter().for_each(|store| signal(store.as_ref(), Signal::STOP)),
            Fault::StopGateway(number) => signal(self.gateways[number].as_ref(), Signal::TERM),
            Fault::KillGateways => self.kill_gateways(),
            Fault::KillNodes => {
                self.kill_gateways();
                self.stores.iter_mut().for_each(|store| *store = None);
            }
            Fault::Platform(response_mode) => self.platform.set_response_mode(response_mode),
            Fault::PlatformCut(number, mode) => self.platform_proxies[number].set_mode(mode),
            Fault::ReplicaCut(number, mode) => self.replica_proxies[number].set_mode(mode),
            Fault::Replica(number, behaviour) => self.replicas[number].set_behaviour(behaviour),
        }
    }

    async fn finish(&mut self, fault: Fault) -> Result<(), LabError> {
        match fault {
            Fault::KillGateway(number) => return self.start_gateway(number).await,
            Fault::KillStore(number) | Fault::WipeStore(number) => return self.start_store(number).await,
            Fault::FreezeGateway(number) => {
                signal(self.gateways[number].as_ref(), Signal::CONT);
                self.callers.record_freeze();
            }
            Fault::FreezeStore(number) => signal(self.stores[number].as_ref(), Signal::CONT),
            Fault::FreezeStores => self.stores.iter().for_each(|store| signal(store.as_ref(), Signal::CONT)),
            Fault::StopGateway(number) => return self.replace_stopping(number).await,
            Fault::KillGateways | Fault::KillNodes => return self.start_ended_nodes().await,
            Fault::Platform(_) => self.platform.set_response_mode(ResponseMode::Normal),
            Fault::PlatformCut(number, _) => self.platform_proxies[number].set_mode(ProxyMode::Open),
            Fault::ReplicaCut(number, _) => self.replica_proxies[number].set_mode(ProxyMode::Open),
            Fault::Replica(number, _) => self.replicas[number].set_behaviour(ReplicaBehaviour::Well),
        }
        Ok(())
    }

    /// Kills a gateway. Requests that it has read but not forwarded are lost.
    pub(super) fn kill_gateway(&mut self, number: usize) {
        self.callers.record_kill(number);
        self.callers.set_gateway(number, None);
        // Dropping the handle kills the process.
        self.gateways[number] = None;
    }

    fn kill_gateways(&mut self) {
        (0..self.gateways.len()).for_each(|number| self.kill_gateway(number));
    }

    async fn start_ended_nodes(&mut self) -> Result<(), LabError> {
        for number in 0..self.stores.len() {
            self.start_store(number).await?;
        }
        for number in 0..self.gateways.len() {
            self.start_gateway(number).await?;
        }
        Ok(())
    }

    fn wipe_store(&mut self, number: usize) {
        let Some(store) = self.stores[number].take() else { return };
        let name = store.plan.name.clone();
        drop(store);
        // The folder may not exist yet.
        let _ = std::fs::remove_dir_all(data_folder(&self.folder, &name));
    }

    /// Waits until a stopping gateway has exited, and restarts it.
    async fn replace_stopping(&mut self, number: usize) -> Result<(), LabError> {
        if let Some(node) = &mut self.gateways[number]
            && !node.wait(STOP_TIMEOUT).await
        {
            let message = format!("{} did not exit in time after SIGTERM; see its log", node.plan.name);
            return Err(LabError::CheckFailed(message));
        }
        self.callers.set_gateway(number, None);
        self.gateways[number] = None;
        self.start_gateway(number).await
    }
}

fn signal(node: Option<&NodeProcess>, signal: Signal) {
    if let Some(node) = node {
        node.signal(signal);
    }
}
