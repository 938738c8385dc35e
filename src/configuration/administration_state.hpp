#pragma once

#include "endivelatch/configuration/administration.hpp"
#include "pending_change.hpp"

#include <map>
#include <string>
#include <utility>

namespace endivelatch {

/// The changes in progress and the steps that carry them out.
struct administration::state {
    using change_map = std::map<admin_exchange, pending_change>;
    using change_iterator = change_map::iterator;

    state(std::string run, administration_settings given, configuration_store& in_force,
          platform_call_id_source& ids)
        : run_name{std::move(run)}, settings{given}, store{in_force}, calls{ids}
    {
    }

    void answer(admin_exchange exchange, std::int32_t status, const nlohmann::json& body);
    void refuse(admin_exchange exchange, std::int32_t status, const std::string& message,
                const findings& faults = {});
    void show(admin_exchange exchange, config_kind kind, const std::string& id);
    void list(admin_exchange exchange, config_kind kind);

    void begin(const admin_request& request, config_kind kind, const std::string& id,
               wall_time wall, time_point now);
    void step(change_iterator it, time_point now);
    void on_platform_answered(change_iterator it, const platform_answer& answer, time_point now);
    void take_read(change_iterator it, const objects_found& found, time_point now);
    void decide(change_iterator it, time_point now);
    bool make_entry(change_iterator it);
    bool is_conflict(const pending_change& change) const;
    void write(change_iterator it, time_point now);
    void call_failed(change_iterator it, const platform_failed& failed, time_point now);
    void accepted(change_iterator it, object_version version, const std::string& document,
                  time_point now);
    void answer_accepted(change_iterator it, bool confirmed);
    void answer_conflict(change_iterator it);
    void expire(change_iterator it);

    std::string run_name;
    administration_settings settings;
    configuration_store& store;
    platform_call_id_source& calls;
    std::uint64_t last_change = 0;
    change_map changes;
    configuration_effects* out = nullptr; ///< Effects of the event in hand.
};

} // namespace endivelatch
