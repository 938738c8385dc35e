#include "endivelatch/configuration/administration.hpp"

#include "administration_state.hpp"
#include "endivelatch/base/digest.hpp"
#include "endivelatch/configuration/object_names.hpp"
#include "object_fields.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr std::string_view api_prefix = "/admin/v1/";
constexpr std::int32_t http_ok = 200;
constexpr std::int32_t http_bad_request = 400;
constexpr std::int32_t http_not_found = 404;
constexpr std::int32_t http_method_not_allowed = 405;

/// The parts of a path below the prefix.
struct admin_path {
    std::optional<config_kind> kind;
    std::string id;
    std::string action;
};

admin_path split_path(std::string_view path)
{
    path.remove_prefix(std::min(path.size(), api_prefix.size()));
    admin_path out;
    const auto slash = path.find('/');
    out.kind = parse_config_kind(path.substr(0, slash));
    if (slash == std::string_view::npos) {
        return out;
    }
    path.remove_prefix(slash + 1);
    const auto second = path.find('/');
    out.id = std::string{path.substr(0, second)};
    if (second != std::string_view::npos) {
        out.action = std::string{path.substr(second + 1)};
    }
    return out;
}

json shown_entry(const json& object, const std::string& id, object_version version)
{
    return {{"id", id},
            {"entry", entry_of(object, id)},
            {"changed", stamp_of(object, id)},
            {"revision", revision_of(object, id)},
            {"object_version", version.value()}};
}

} // namespace

administration::administration(std::string run_name, administration_settings settings,
                               configuration_store& store, platform_call_id_source& calls)
    : state_{std::make_unique<state>(std::move(run_name), settings, store, calls)}
{
}

administration::~administration() = default;
administration::administration(administration&&) noexcept = default;

bool administration::handles(std::string_view path)
{
    return path.starts_with(api_prefix) && split_path(path).kind.has_value();
}

configuration_effects administration::request(const admin_request& request, wall_time wall,
                                              time_point now)
{
    configuration_effects out;
    state_->out = &out;
    const auto path = split_path(request.path);
    if (!path.kind) {
        state_->refuse(request.exchange, http_not_found,
                       "path \"" + request.path + "\" does not exist");
        return out;
    }
    if (request.method == "GET") {
        if (path.id.empty()) {
            state_->list(request.exchange, *path.kind);
        }
        else {
            state_->show(request.exchange, *path.kind, path.id);
        }
        return out;
    }
    const bool adds_key = request.method == "POST" && path.action == "keys" &&
                          *path.kind == config_kind::organisations;
    const bool changes =
        path.action.empty() &&
        (request.method == "PUT" || request.method == "PATCH" || request.method == "DELETE");
    if (path.id.empty() || (!adds_key && !changes)) {
        state_->refuse(request.exchange, http_method_not_allowed,
                       "method " + request.method + " is not allowed for \"" + request.path + "\"");
        return out;
    }
    state_->begin(request, *path.kind, path.id, wall, now);
    return out;
}

configuration_effects administration::on_platform_answered(const platform_answer& answer,
                                                           time_point now)
{
    configuration_effects out;
    state_->out = &out;
    const auto it = std::find_if(state_->changes.begin(), state_->changes.end(),
                                 [&](const auto& c) { return c.second.call == answer.call; });
    if (it != state_->changes.end()) {
        it->second.call.reset();
        state_->on_platform_answered(it, answer, now);
    }
    return out;
}

configuration_effects administration::on_object_confirmed(const object_confirmed& notice,
                                                          time_point)
{
    configuration_effects out;
    state_->out = &out;
    for (auto it = state_->changes.begin(); it != state_->changes.end();) {
        const auto next = std::next(it);
        const auto& change = it->second;
        const bool covers = change.stage == change_stage::confirming &&
                            change.object == notice.name && change.accepted <= notice.version;
        if (covers) {
            state_->answer_accepted(it, true);
        }
        it = next;
    }
    return out;
}

configuration_effects administration::tick(time_point now)
{
    configuration_effects out;
    state_->out = &out;
    for (auto it = state_->changes.begin(); it != state_->changes.end();) {
        const auto next = std::next(it);
        state_->step(it, now);
        it = next;
    }
    return out;
}

time_point administration::next_timer() const
{
    auto out = time_point::max();
    for (const auto& [exchange, it] : state_->changes) {
        out = std::min({out, it.deadline, it.call_timeout});
        if (!it.call && it.stage != change_stage::confirming) {
            out = std::min(out, it.next_try);
        }
    }
    return out;
}

void administration::state::answer(admin_exchange exchange, std::int32_t status, const json& body)
{
    out->emplace_back(admin_response{exchange, status, body.dump()});
}

void administration::state::refuse(admin_exchange exchange, std::int32_t status,
                                   const std::string& message, const findings& faults)
{
    json body{{"error", message}, {"accepted", false}};
    if (!faults.empty()) {
        body["findings"] = to_json(faults);
    }
    answer(exchange, status, body);
}

void administration::state::show(admin_exchange exchange, config_kind kind, const std::string& id)
{
    const auto* const held = store.held(config_object_name(kind, id));
    const auto object = object_json(held == nullptr ? std::string{} : held->document);
    if (entry_of(object, id).is_null()) {
        refuse(exchange, http_not_found,
               "\"" + id + "\" does not exist in " + std::string{to_string(kind)});
        return;
    }
    answer(exchange, http_ok, shown_entry(object, id, held->version));
}

void administration::state::list(admin_exchange exchange, config_kind kind)
{
    json entries = json::array();
    for (const auto& [name, version] : store.versions()) {
        if (kind_of_object(name) != kind) {
            continue;
        }
        const auto object = object_json(store.held(name)->document);
        for (const auto& [id, entry] : object.at(std::string{entries_field}).items()) {
            entries.push_back(shown_entry(object, id, version));
        }
    }
    answer(exchange, http_ok, {{"kind", to_string(kind)}, {"entries", std::move(entries)}});
}

void administration::state::begin(const admin_request& request, config_kind kind,
                                  const std::string& id, wall_time wall, time_point now)
{
    pending_change change;
    change.request = request;
    change.kind = kind;
    change.id = id;
    change.object = config_object_name(kind, id);
    change.change = {run_name + "." + std::to_string(++last_change), request.operator_name, wall,
                     0};
    change.deadline = now + settings.change_timeout;
    const bool has_body = request.method == "PUT" || request.method == "PATCH";
    if (has_body && !json::accept(request.body)) {
        refuse(request.exchange, http_bad_request, "the body is not a JSON document");
        return;
    }
    const auto* const held = store.held(change.object);
    if (held != nullptr) {
        change.base = entry_of(object_json(held->document), id);
        change.version = held->version;
        change.has_base = true;
    }
    const auto it = changes.insert_or_assign(request.exchange, std::move(change)).first;
    step(it, now);
}

} // namespace endivelatch
