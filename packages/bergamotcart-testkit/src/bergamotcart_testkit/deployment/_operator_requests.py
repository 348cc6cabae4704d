"""Operator requests: read the status of a deployment, and remove its faults."""

from functools import partial
from typing import cast

from bergamotcart_testkit.deployment._clients import Reply
from bergamotcart_testkit.deployment._deployment import Deployment
from bergamotcart_testkit.deployment._plan import ADMIN_TOKEN, ControlPlan
from bergamotcart_testkit.deployment._waiting import wait_until


async def control_status(deployment: Deployment) -> dict[str, object]:
    """Return the status from the first control process that answers."""
    return await wait_until(
        partial(_try_status, deployment), 'a control process returns its status'
    )


async def control_document(deployment: Deployment) -> dict[str, object]:
    """Return the document from the first control process that answers."""
    return await wait_until(
        partial(_try_document, deployment), 'a control process returns the document'
    )


async def control_leader(deployment: Deployment) -> str:
    """Return the name of the leading control process."""
    return await wait_until(
        partial(_try_leader, deployment), 'the control processes report a leader'
    )


async def all_entries_report_revision(deployment: Deployment, revision: int) -> bool:
    """Tell whether every entry reports a revision of the document, or a newer one."""
    status = await control_status(deployment)
    entries = cast(list[dict[str, int]], status['entries'])
    reported = [entry['revision'] for entry in entries]
    return len(reported) >= deployment.layout.entries and min(reported) >= revision


async def remove_faults(deployment: Deployment) -> None:
    """Remove all faults, and wait until the deployment is ready.

    Stopped and paused processes run again, zones are reconnected, and replication is not delayed.
    """
    for process in deployment.processes.values():
        process.resume()
        if not process.is_running:
            process.start()
    for zone in deployment.layout.availability_zones:
        await deployment.reconnect_zone(zone)
    for target in deployment.plan.targets:
        client = deployment.target(target.name)
        await wait_until(client.status, f'target {target.name} returns its status')
        await client.configure(lag=0.0, execution_time=deployment.layout.execution_time)
    await deployment.wait_until_ready(apply_document=False)


async def _try_status(deployment: Deployment) -> dict[str, object] | None:
    for control in deployment.plan.controls:
        reply = await _get_from_control(deployment, control, '/v1/status')
        if reply and reply.is_ok:
            return reply.json()
    return None


async def _get_from_control(
    deployment: Deployment, control: ControlPlan, path: str
) -> Reply | None:
    if not control.process.is_answering:
        return None
    return await deployment.http.try_get(control.http, path, ADMIN_TOKEN)


async def _try_document(deployment: Deployment) -> dict[str, object] | None:
    for control in deployment.plan.controls:
        reply = await _get_from_control(deployment, control, '/v1/document')
        if reply and reply.is_ok:
            return reply.json()
    return None


async def _try_leader(deployment: Deployment) -> str | None:
    status = await control_status(deployment)
    return cast(str | None, status['leader'])
