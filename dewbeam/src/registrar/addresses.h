/// \file
/// Where registries are found, and the replica ids that stand for their addresses.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/consensus"

namespace dewbeam::registrar {

/// Settings `/registries/...`, of registries and of those that follow them.
std::vector<setting> registry_settings();

/// Link addresses (`tcp://IP:PORT`) of the seeds in the settings.
std::vector<std::string> registry_addresses(const nlohmann::json& settings);

/// The replica id of a link address with an IPv4 address: the address itself, as a number, so that
/// every process finds the same id without a list. 0 where the text is no such address.
consensus::replica_id id_of(std::string_view link_address);

/// The link address of a replica id.
std::string address_of(consensus::replica_id id);

}  // namespace dewbeam::registrar
