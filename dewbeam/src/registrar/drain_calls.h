/// \file
/// Operators' orders to drain failure domains, as a registry carries them out.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "dewbeam.pb.h"
#include "dewbeam/control"
#include "dewbeam/drains"
#include "dewbeam/http"
#include "dewbeam/src/registrar/order_age.h"

namespace dewbeam::registrar {

/// An order, and until when it may be carried out; see `order_age.h`.
struct drain_order {
    failure_domain_id m_domain;
    bool m_is_drained = false;
    time_point m_deadline{};
};

/// Answers an order once a majority of registries has synced it. Answers 422 for a domain that is
/// not in `known`, and 503 if there is no majority or a later order came in between. An order that
/// waited must not undo a later one: it isn't carried out, and answered by 503 `order_too_old`, if
/// its `deadline` has passed by the time this registry is sure that it holds all acknowledged
/// orders, or if the caller has disconnected by then. `now` gives the present.
void order_drain(control::replica_runner& runner, const drain_order& wanted,
                 const std::set<failure_domain_id>& known, time_point (*now)(),
                 const std::shared_ptr<http::exchange>& answer);

/// Answers with the known failure domains and which of them are drained.
void list_domains(control::replica_runner& runner, const std::set<failure_domain_id>& known,
                  const std::shared_ptr<http::exchange>& answer);

/// Writes the drained domains into news for watchers.
void put_drains(const drains::drain_state& state, wire::WatchNews& news);

/// The drained domains that news names.
std::set<failure_domain_id> drained_domains(const wire::WatchNews& news);

}  // namespace dewbeam::registrar
