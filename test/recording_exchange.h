/// \file
/// An answer without a connection, for tests of what takes requests.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "dewbeam/http"

namespace dewbeam::test {

/// Records the answer. Its caller may have left before the request was read.
class recording_exchange : public http::exchange {
public:
    void respond(http::response whole) override
    {
        m_status = whole.m_status;
        m_body = std::move(whole.m_body);
        m_is_finished = true;
    }
    void start(int status, http::fields) override { m_status = status; }
    void write(std::string bytes) override { m_body += bytes; }
    void finish() override { m_is_finished = true; }
    void abort() override {}

    void on_gone(std::function<void()> action) override
    {
        if (m_is_gone) {
            action();
        }
    }

    int m_status = 0;  ///< 0: not answered
    std::string m_body;
    bool m_is_finished = false;
    bool m_is_gone = false;
};

}  // namespace dewbeam::test
