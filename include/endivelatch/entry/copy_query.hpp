#pragma once

#include "endivelatch/entry/protocol.hpp"
#include "endivelatch/http1/http_header.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivelatch {

/// Query to another router for its copy as soon as that is newer than a position.
struct copy_query {
    object_kind kind = object_kind::configuration;
    store_position newer_than;
    bool from_watcher = false;    ///< Only a router that watches the store may answer.
    bool accepts_changes = false; ///< The answer may hold only the changes since the revision.
    bool small_only = false;      ///< Do not send a large copy, which would load the link.
    /// How long the answer may be held back until there is a newer copy, or the store has confirmed
    /// the present one. Routers of earlier versions state none and wait for a newer copy only.
    std::optional<duration> wait = std::nullopt;
};

/// Longest wait that a query may ask for.
inline constexpr duration max_copy_wait{5'000'000};

/// Answer to a copy query.
struct copy_answer {
    int status = 0;
    std::string body;

    /// The body holds a whole copy, or the changes since the revision of the query.
    static constexpr int whole = 200;
    static constexpr int changes = 206;
    /// The router has no newer copy.
    static constexpr int nothing_newer = 204;
    /// The router has a newer copy, but the query accepts only small ones.
    static constexpr int too_large = 303;
    /// The router does not watch the store.
    static constexpr int not_watching = 503;
    /// The router watches the store but does not reach it.
    static constexpr int store_lost = 502;
};

/// Returns the maximum size in bytes of a copy that a router sends to others while the store is
/// available, given the rate of its link in bytes per second. About twenty routers may query the
/// same router at once.
std::size_t max_small_copy_size(std::uint64_t link_rate);

/// Maximum time that sending a small copy may take on the link: 0.4 s for twenty routers.
inline constexpr duration max_small_copy_time{20'000};
/// Maximum size in bytes of a small copy if the rate of the link is unknown.
inline constexpr std::size_t default_max_small_copy_size = 65'536;

/// Returns the path and query, such as `/copy/targets?newer-than=7`. The parameters
/// `&from-watcher`, `&changes` and `&small` may follow, in this order. Era and wait are in headers;
/// see `write_copy_headers`.
std::string write_copy_query(const copy_query& query);

/// Parses a path and query, and its headers. Returns nothing if it is not a valid copy
/// query.
std::optional<copy_query> read_copy_query(std::string_view target, const http_headers& headers);

/// Returns the headers of a query: its era and wait.
http_headers write_copy_headers(const copy_query& query);

/// Returns the headers of a query or an answer that state the era of its position: none for a store
/// without eras. Routers of earlier versions ignore the header.
http_headers write_copy_era(store_era era);

/// Returns the header of an answer that states when the store confirmed the copy, relative to the
/// arrival of the query. The time on the way thus makes a confirmation look older, never newer.
http_header write_confirmation(duration since_query);

/// Stated by a router whose copy was never confirmed.
inline constexpr duration never_confirmed = std::chrono::hours{-24};

/// Reads when the copy was confirmed, relative to the query; nothing if it is not stated.
std::optional<duration> read_confirmation(const http_headers& headers);

/// Reads the era from the headers of a query or an answer; zero if none is stated.
store_era read_copy_era(const http_headers& headers);

} // namespace endivelatch
