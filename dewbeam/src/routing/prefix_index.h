/// \file
/// Which upstream probably holds which prompt blocks in its cache.
///
/// The index is approximate and its memory is bounded. It learns from own dispatches and from
/// cache events. What could have changed unseen ages it: for each upstream a churn is counted, in
/// whole contents of its cache; an entry counts for less the more churn came after it.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "dewbeam/src/routing/index_set.h"

namespace dewbeam::routing {

/// Cumulative hash of a prompt's blocks up to one of them.
using block_hash = std::uint64_t;

/// What an upstream says of its prefix cache.
struct cache_event {
    std::uint64_t m_number = 0;  ///< counts up by one; a jump means lost events
    bool m_is_removal = false;   ///< else the blocks were stored
    std::vector<block_hash> m_blocks;
};

/// Limits of an index.
struct prefix_options {
    std::size_t m_most_entries = std::size_t{1} << 16U;  ///< 22 bytes each, taken at the first use
};

/// The index.
class prefix_index {
public:
    explicit prefix_index(prefix_options options = {});

    /// States how many blocks fit into an upstream's cache, once that is known.
    void set_capacity(upstream_index upstream, double blocks);

    /// The prompt went to the upstream, which will hold its blocks.
    void note_dispatch(upstream_index upstream, const std::vector<block_hash>& prompt);

    /// The upstream says what it stored or removed; a gap before it ages its entries.
    void note_event(upstream_index upstream, const cache_event& event);

    /// Forgets an upstream: it restarted or is gone.
    void forget(upstream_index upstream);

    /// How many leading blocks of `prompt` the upstream probably holds, as an expectation.
    [[nodiscard]] double expected_blocks(upstream_index upstream,
                                         const std::vector<block_hash>& prompt) const;

    /// Most upstreams that `find_holders` names.
    static constexpr std::size_t most_holders = 4;
    struct holders {
        std::array<upstream_index, most_holders> m_items{};
        std::size_t m_count = 0;
    };

    /// Upstreams that probably hold the longest known part of `prompt`, the latest first.
    [[nodiscard]] holders find_holders(const std::vector<block_hash>& prompt) const;

private:
    struct entry {
        std::uint64_t m_key = 0;
        float m_churn = 0;         ///< the upstream's churn when it was last confirmed
        std::uint32_t m_life = 0;  ///< the upstream's life; 0: empty
    };
    struct holder_list {
        block_hash m_block = 0;
        std::array<upstream_index, most_holders> m_items{};  ///< upstream + 1; 0: none
    };
    struct upstream_cache {
        std::uint32_t m_life = 1;
        double m_churn = 0.0;
        double m_capacity = 0.0;      ///< blocks; 0: not known
        double m_event_blocks = 8.0;  ///< mean blocks of an event
        std::uint64_t m_last_event = 0;
    };

    void store(upstream_index upstream, block_hash block);
    void remove(upstream_index upstream, block_hash block);
    void add_holder(upstream_index upstream, block_hash block);
    [[nodiscard]] double confidence(upstream_index upstream, block_hash block) const;
    upstream_cache& cache_of(upstream_index upstream);
    [[nodiscard]] std::size_t bucket_of(std::uint64_t key) const;
    [[nodiscard]] const holder_list& holders_of(block_hash block) const;
    [[nodiscard]] bool is_held(block_hash block) const;

    std::size_t m_buckets;
    std::vector<entry> m_entries;
    std::vector<holder_list> m_holders;
    std::vector<upstream_cache> m_upstreams;
};

}  // namespace dewbeam::routing
