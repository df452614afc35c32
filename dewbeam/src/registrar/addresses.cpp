#include "dewbeam/src/registrar/addresses.h"

#include <absl/strings/str_format.h>

#include <boost/asio/ip/address_v4.hpp>

namespace dewbeam::registrar {

namespace {

constexpr std::string_view scheme = "tcp://";
constexpr unsigned port_bits = 16;
constexpr std::uint64_t port_mask = 0xFFFF;

}  // namespace

std::vector<setting> registry_settings()
{
    constexpr std::int64_t max_port = 65'535;
    return {
        {"/registries/seeds", setting_kind::addresses, nlohmann::json::array(),
         "Addresses of some registries; they name all others. Taken over while the program runs."},
        {"/registries/link_port", setting_kind::integer, 0,
         "Port of all registries for dewbeam's own processes, where the seeds are addresses for "
         "others; 0: the seeds are link addresses.",
         0, max_port},
    };
}

std::vector<std::string> registry_addresses(const nlohmann::json& settings)
{
    const auto port = setting_value<std::uint16_t>(settings, "/registries/link_port");
    std::vector<std::string> result;
    for (const auto& text :
         setting_value<std::vector<std::string>>(settings, "/registries/seeds")) {
        auto seed = parse_endpoint(text);
        if (!seed.ok()) {
            continue;  // the validation of the settings rejects such a value
        }
        seed->m_port = port != 0 ? port : seed->m_port;
        result.push_back(std::string(scheme) + to_string(*seed));
    }
    return result;
}

consensus::replica_id id_of(std::string_view link_address)
{
    if (!link_address.starts_with(scheme)) {
        return {};
    }
    const auto place = parse_endpoint(link_address.substr(scheme.size()));
    if (!place.ok()) {
        return {};
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(place->m_ip, error);
    if (error) {
        return {};
    }
    return consensus::replica_id((std::uint64_t{ip.to_uint()} << port_bits) | place->m_port);
}

std::string address_of(consensus::replica_id id)
{
    const auto ip =
        boost::asio::ip::address_v4(static_cast<std::uint32_t>(id.value() >> port_bits));
    return absl::StrFormat("tcp://%s:%d", ip.to_string(), id.value() & port_mask);
}

}  // namespace dewbeam::registrar
