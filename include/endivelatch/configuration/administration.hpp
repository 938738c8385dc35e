#pragma once

#include "endivelatch/configuration/configuration_store.hpp"
#include "endivelatch/configuration/effects.hpp"
#include "endivelatch/platform/call_id_source.hpp"

#include <memory>
#include <optional>
#include <string>

namespace endivelatch {

/// One request of an operator to `/admin/v1/KIND[/ID[/keys]]`, already authenticated.
struct admin_request {
    admin_exchange exchange;
    std::string operator_name;
    std::string method; ///< GET, PUT, PATCH (JSON merge patch), POST or DELETE.
    std::string path;   ///< Without the query, such as `/admin/v1/targets/t1`.
    std::string body;
    std::optional<std::uint64_t> if_version; ///< Revision that the entry must have; 0: no entry.
    std::string random_text;                 ///< Unpredictable text for a new organisation key.
};

/// Settings of the administration API.
struct administration_settings {
    duration call_timeout = std::chrono::seconds{3};    ///< Of one platform call.
    duration change_timeout = std::chrono::seconds{10}; ///< Of one change.
    duration retry_delay = std::chrono::milliseconds{300};
    duration confirm_wait = std::chrono::seconds{1}; ///< For a peer that holds the change.
    bool settle_lost_writes = true; ///< Only tests take a lost answer for a stored change.
    bool detect_conflicts = true;   ///< Only tests let a later change overwrite another's.
    bool wait_for_peer = true;      ///< Only tests accept what no peer has confirmed.
};

/// Reducer for operators' requests to create, read, change and remove configuration.
///
/// A change reads its object from the platform, checks the entry and its references, and stores
/// the object by a conditional update. When another change came between, the entry decides: an
/// unchanged entry is applied again to the new object; a changed one is refused with the
/// differences. A lost answer is settled by looking for the own change id. A change is accepted
/// once it is stored and a peer holds it too, so that it stays in force without the platform.
class administration {
public:
    /// Makes the reducer; `store` and `calls` must outlive it. `run_name` makes change ids unique.
    administration(std::string run_name, administration_settings settings,
                   configuration_store& store, platform_call_id_source& calls);
    ~administration();
    administration(const administration&) = delete;
    administration& operator=(const administration&) = delete;
    administration(administration&&) noexcept;
    administration& operator=(administration&&) = delete;

    /// Returns whether the path belongs to this API.
    static bool handles(std::string_view path);

    /// Takes a request; it is answered once by `admin_response`.
    configuration_effects request(const admin_request& request, wall_time wall, time_point now);

    /// Takes an answer of the platform; answers to other reducers' calls are ignored.
    configuration_effects on_platform_answered(const platform_answer& answer, time_point now);

    /// Takes the notice that a peer holds an object, see `object_confirmed`.
    configuration_effects on_object_confirmed(const object_confirmed& notice, time_point now);

    /// Carries out what is due.
    configuration_effects tick(time_point now);

    /// Returns when `tick` must be called next, the greatest time when nothing is due.
    time_point next_timer() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace endivelatch
