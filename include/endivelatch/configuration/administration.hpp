#pragma once

#include "endivelatch/configuration/configuration_store.hpp"
#include "endivelatch/configuration/effects.hpp"
#include "endivelatch/platform/call_id_source.hpp"

#include <memory>
#include <optional>
#include <string>

namespace endivelatch {

/// An authenticated operator request to `/admin/v1/KIND[/ID[/keys]]`.
struct admin_request {
    admin_exchange exchange;
    std::string operator_name;
    std::string method; ///< GET, PUT, PATCH (JSON merge patch), POST or DELETE.
    std::string path;   ///< Without the query string, such as `/admin/v1/targets/t1`.
    std::string body;
    std::optional<std::uint64_t> if_version; ///< Required revision; 0: no entry may exist.
    std::string random_text; ///< Cryptographically random bytes for a new organisation key.
};

/// Settings of the administration API.
struct administration_settings {
    duration call_timeout = std::chrono::seconds{3};    ///< Timeout of a platform call.
    duration change_timeout = std::chrono::seconds{10}; ///< Time limit for storing a change.
    duration retry_delay = std::chrono::milliseconds{300};
    duration confirmation_timeout = std::chrono::seconds{1}; ///< Wait for a peer's reply.
    bool resolve_lost_writes = true; ///< If false (tests only), a lost response counts as success.
    bool detect_conflicts = true;    ///< If false (tests only), the later change wins.
    bool wait_for_peer = true;       ///< If false (tests only), no confirmation is required.
};

/// Reducer for operators' requests to create, read, update and delete configuration entries.
///
/// A change reads its object from the platform, validates the entry and its references, and writes
/// the object conditionally on its version. If the object has changed in the meantime, the change
/// is applied to the new version, unless the entry itself differs: then the change is rejected
/// with the differences. If the response to a write is lost, the object is read again and searched
/// for the change identifier. A change is accepted once it is stored and a peer has confirmed that
/// it holds the version, so that the change remains active without the platform.
class administration {
public:
    /// `store` and `calls` must outlive this object. `run_name` is the prefix of change identifiers
    /// and must be unique to this run of the router.
    administration(std::string run_name, administration_settings settings,
                   configuration_store& store, platform_call_id_source& calls);
    ~administration();
    administration(const administration&) = delete;
    administration& operator=(const administration&) = delete;
    administration(administration&&) noexcept;
    administration& operator=(administration&&) = delete;

    /// Returns whether a path belongs to the administration API.
    static bool handles(std::string_view path);

    /// Handles a request. It gets one `admin_response`, immediately or later.
    configuration_effects request(const admin_request& request, wall_time wall, time_point now);

    /// Handles a platform response; responses to calls of other components are ignored.
    configuration_effects on_platform_answered(const platform_answer& answer, time_point now);

    /// Handles a peer's confirmation that it holds a version of an object.
    configuration_effects on_object_confirmed(const object_confirmed& confirmation, time_point now);

    /// Performs all actions whose time has come.
    configuration_effects tick(time_point now);

    /// Returns the time at which `tick` must be called next; `time_point::max()` if none is due.
    time_point next_timer() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace endivelatch
