/// \file
/// Addresses of the registries, and the replica ids derived from them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/consensus"

namespace dewbeam::registrar {

/// The settings `/registries/...` of registries and of the programs that follow them.
std::vector<setting> registry_settings();

/// The link addresses (`tcp://IP:PORT`) of the seeds in the settings.
std::vector<std::string> registry_addresses(const nlohmann::json& settings);

/// The replica id of a link address with an IPv4 address: address and port as one number, so that
/// every process derives the same id without a shared list. 0 if the text is no such address.
consensus::replica_id id_of(std::string_view link_address);

/// The link address of a replica id.
std::string address_of(consensus::replica_id id);

}  // namespace dewbeam::registrar
