#include "dewbeam/src/registrar/follower_file.h"

#include <utility>

#include "dewbeam/storage"

namespace dewbeam::registrar {

namespace {

constexpr const char* file_name = "followers.json";

}  // namespace

follower_file::follower_file(std::string folder)
    : m_folder(std::move(folder)), m_thread([this] { run(); })
{
}

follower_file::~follower_file()
{
    {
        const std::lock_guard lock(m_mutex);
        m_is_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

std::vector<follower_place> follower_file::load() const
{
    const auto content = storage::read_file(m_folder + "/" + file_name);
    if (absl::IsNotFound(content.status())) {
        return {};
    }
    if (!content.ok()) {
        log_event(log_level::warning, "followers_not_read",
                  {{"reason", std::string(content.status().message())}});
        return {};
    }
    return parse_followers(*content);
}

void follower_file::save(std::string content)
{
    {
        const std::lock_guard lock(m_mutex);
        m_unsaved = std::move(content);
    }
    m_wake.notify_one();
}

void follower_file::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_wake.wait(lock, [this] { return m_is_stopping || m_unsaved; });
        if (m_is_stopping) {
            return;
        }
        const auto content = *std::exchange(m_unsaved, std::nullopt);
        lock.unlock();
        const auto outcome = storage::replace_file(m_folder, file_name, content);
        if (outcome != storage::write_outcome::done) {
            log_event(log_level::warning, "followers_not_saved",
                      {{"reason", storage::to_string(outcome)}});
        }
        lock.lock();
    }
}

}  // namespace dewbeam::registrar
