#pragma once

#include "endivelatch/configuration/administration.hpp"
#include "pending_change.hpp"

#include <map>
#include <string>
#include <utility>

namespace endivelatch {

/// The changes in progress and the functions that process them.
struct administration::state {
    using change_map = std::map<admin_exchange, pending_change>;
    using change_iterator = change_map::iterator;

    state(std::string run, administration_settings initial_settings,
          configuration_store& config_store, platform_call_id_source& call_ids)
        : run_name{std::move(run)}, settings{initial_settings}, store{config_store}, calls{call_ids}
    {
    }

    void respond(admin_exchange exchange, std::int32_t status, const nlohmann::json& body);
    void reject(admin_exchange exchange, std::int32_t status, const std::string& message,
                const findings& errors = {});
    void show_entry(admin_exchange exchange, config_kind kind, const std::string& id);
    void list_entries(admin_exchange exchange, config_kind kind);

    void start_change(const admin_request& request, config_kind kind, const std::string& id,
                      wall_time wall, time_point now);
    void advance(change_iterator it, time_point now);
    void on_platform_answered(change_iterator it, const platform_answer& answer, time_point now);
    void on_object_read(change_iterator it, const objects_found& found, time_point now);
    void validate_and_write(change_iterator it, time_point now);
    bool build_entry(change_iterator it);
    bool is_conflict(const pending_change& change) const;
    void write(change_iterator it, time_point now);
    void on_call_failed(change_iterator it, const platform_failed& failed, time_point now);
    void on_stored(change_iterator it, object_version version, const std::string& document,
                   time_point now);
    void respond_accepted(change_iterator it, bool confirmed);
    void respond_conflict(change_iterator it);
    void on_deadline(change_iterator it);

    std::string run_name;
    administration_settings settings;
    configuration_store& store;
    platform_call_id_source& calls;
    std::uint64_t change_count = 0;
    change_map changes;
    configuration_effects* out = nullptr; ///< Effects of the event being handled.
};

} // namespace endivelatch
