/// \file
/// Orders about the expert map as whole JSON documents.
#pragma once

#include <memory>
#include <mutex>

#include "dewbeam/http"
#include "dewbeam/src/group/engine_port.h"

namespace dewbeam::agent {

/// An engine that takes whole orders as JSON: `POST /orders`.
class json_engine_port : public group::engine_port {
public:
    /// `client` leads to the engine, is used for nothing else and outlives this object.
    explicit json_engine_port(http::client& client) : m_client(client) {}

    void send(const group_map::engine_order& order, group::order_done done) override;
    void cancel() override;

private:
    http::client& m_client;
    std::mutex m_mutex;
    fencing_number m_newest;  ///< order whose exchange is kept
    std::shared_ptr<http::client_exchange> m_exchange;
};

}  // namespace dewbeam::agent
