#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Typed representations of the configuration entries that operators manage.
namespace endivelatch {

/// The kind of back end that a target is.
enum class target_kind {
    engine,  ///< Model engine that streams responses and caches prompt prefixes.
    service, ///< Service that returns one response per call.
};

/// Guarantees about a target's behaviour, as declared by operators.
struct target_contract {
    bool checks_fencing_number = false; ///< Rejects orders with an outdated fencing number.
    bool refusal_means_not_run = false; ///< Status 429 or 503 means that nothing was run.
    bool idempotent_calls = true;       ///< Calls may be sent more than once.
};

/// A back end.
struct target_document {
    target_id id;
    pool_id pool;
    domain_id domain;
    region_id region;
    target_kind kind = target_kind::engine;
    std::string url; ///< Base URL, such as `http://127.0.0.1:9001`.
    target_contract contract;
    std::uint32_t max_in_flight = 0; ///< Limit on concurrent requests; zero: no limit.
    bool draining = false;           ///< Receives no new requests; set before a planned stop.
};

/// A model and the versions and adapters of it that the targets of a pool serve.
struct model_document {
    std::string name;
    pool_id pool;
    std::vector<std::string> versions;
    std::vector<std::string> adapters;
};

/// A customer.
struct organisation_document {
    organisation_id id;
    std::vector<std::string> key_hashes; ///< SHA-256 digests of its API keys, in hexadecimal.
    std::vector<std::string> models;     ///< Models that it may use.
    std::vector<pool_id> services;       ///< Pools of services that it may use.
    std::uint32_t weight = 1;            ///< Relative share under contention.
    std::uint32_t max_in_flight = 0;     ///< Limit across the fleet; zero: the default.
};

/// Settings of the whole fleet. An exception overrides one of them for one subject.
struct fleet_defaults {
    double load_bound = 1.25;                   ///< Maximum load relative to the pool's mean.
    std::uint32_t organisation_cap = 64;        ///< Requests in flight per organisation.
    duration queue_deadline{10'000'000};        ///< Maximum time in a queue.
    duration request_timeout{300'000'000};      ///< Maximum run time of a request.
    duration entry_lifetime{10'000'000};        ///< How long callers may use entry addresses.
    double retry_share = 0.1;                   ///< Permitted retries per recent request.
    std::uint32_t service_sockets = 16;         ///< Concurrent calls per service and router.
    std::uint32_t queue_length = 256;           ///< Maximum queued requests per target.
    duration booking_retention{86'400'000'000}; ///< Age from which booking keys are rejected.
};

/// Overrides one setting for one subject; `reason` is required.
struct exception_document {
    std::string id;
    std::string subject; ///< `organisation/ID`, `pool/ID` or `target/ID`.
    std::string setting; ///< Name of a member of `fleet_defaults`.
    double value = 0;
    std::string reason;
    std::string author;
    std::int64_t created_us = 0; ///< Microseconds since 1970-01-01 UTC.
};

/// The complete active configuration.
struct configuration {
    fleet_defaults defaults;
    std::map<organisation_id, organisation_document> organisations;
    std::map<std::string, model_document> models;
    std::map<target_id, target_document> targets;
    std::map<std::string, exception_document> exceptions;
};

} // namespace endivelatch
