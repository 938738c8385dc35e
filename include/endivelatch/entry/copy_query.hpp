#pragma once

#include "endivelatch/entry/protocol.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivelatch {

/// Asks another router for its copy once it is newer than a revision.
struct copy_query {
    object_kind kind = object_kind::configuration;
    store_revision newer_than;
    bool from_watcher = false;  ///< Only from a router that watches the store itself.
    bool takes_changes = false; ///< What changed since the revision will do.
    bool small_only = false;    ///< What would keep the link busy is read from the store.
};

/// Answer of a router to a copy query.
struct copy_answer {
    int status = 0;
    std::string body;

    /// The body is a whole copy, or what changed.
    static constexpr int whole = 200;
    static constexpr int changes = 206;
    /// There is nothing newer.
    static constexpr int nothing_newer = 204;
    /// There is something newer, too large for a query for small ones.
    static constexpr int too_large = 303;
    /// This router does not watch the store.
    static constexpr int no_watcher = 503;
};

/// Returns the largest copy, in bytes, that a router passes on while the store answers, given the
/// rate of its link in bytes a second. Some twenty routers may ask one of them at once.
std::size_t largest_small_copy(std::uint64_t link_rate);

/// Time for which a small copy may keep the link busy: for twenty routers 0.4 s.
inline constexpr duration small_copy_time{20'000};
/// Largest small copy when the rate of the link is not known, in bytes.
inline constexpr std::size_t default_small_copy = 65'536;

/// Returns the path and query, such as `/copy/targets?newer-than=7`. The words `&from-watcher`,
/// `&changes` and `&small` may follow, in this order.
std::string write_copy_query(const copy_query& query);

/// Returns the query, or nothing when the path is another one.
std::optional<copy_query> read_copy_query(std::string_view target);

} // namespace endivelatch
