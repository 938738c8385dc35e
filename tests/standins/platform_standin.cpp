#include "platform_standin.hpp"

#include "endivelatch/platform/object.hpp"

#include <algorithm>

namespace endivelatch::standins {

namespace {

/// Base path of the object API.
const std::string object_root = "/objects";

/// Returns the version in `If-Match: "VERSION"`.
std::uint64_t expected_version(const http_request& request)
{
    const std::string* text = find_header(request.headers, "if-match");
    if (text == nullptr) {
        return 0;
    }
    return parse_uint(std::string_view{*text}.substr(text->starts_with('"') ? 1 : 0));
}

/// Returns whether the text is valid UTF-8, as JSON requires.
bool is_utf8(const std::string& text)
{
    try {
        return !json(text).dump().empty();
    }
    catch (const json::exception&) {
        return false;
    }
}

} // namespace

platform_standin::platform_standin(event_loop& loop, const endpoint& listen)
    : loop_{&loop}, http_{loop,
                          listen,
                          {[this](http_request&& it) { handle(it); },
                           [this](exchange_id id) {
                               watches_.remove_if([id](const auto& it) { return it.id == id; });
                           },
                           {}}}
{
}

void platform_standin::handle(const http_request& request)
{
    if (request.path == "/record") {
        http_.respond(request.id, 200, record());
        return;
    }
    if (request.path == "/control") {
        control(parse_json(request.body));
        http_.respond(request.id, 200, json::object());
        return;
    }
    if (faults_.hang) {
        ++counts_["hung"];
        return;
    }
    if (faults_.outage) {
        ++counts_["refused_in_outage"];
        respond(request.id, 503, {{"error", "the platform has an outage"}});
        return;
    }
    const bool is_read = request.method == "GET";
    if (!(is_read ? is_within_rate_limit(faults_.read_rate, reads_)
                  : is_within_rate_limit(faults_.write_rate, writes_))) {
        ++counts_["refused_over_rate"];
        respond(request.id, 429, {{"error", "too many calls"}});
        return;
    }
    if (request.path == "/vms") {
        ++counts_["reads"];
        respond(request.id, 200, {{"vms", vms_}});
        return;
    }
    if (request.path.starts_with(object_root)) {
        handle_objects(request);
        return;
    }
    respond(request.id, 404, {{"error", "no such path"}});
}

void platform_standin::handle_objects(const http_request& request)
{
    if (request.path.size() <= object_root.size() + 1) {
        read_prefix(request);
        return;
    }
    const std::string name = request.path.substr(object_root.size() + 1);
    if (request.method == "GET") {
        read_object(request.id, name);
        return;
    }
    write(request, name);
}

void platform_standin::read_object(exchange_id id, const std::string& name)
{
    ++counts_["reads"];
    const auto it = objects_.find(name);
    if (it == objects_.end() || it->second.is_deleted) {
        respond(id, 404, {{"error", "no such object"}, {"store", store_version_}});
        return;
    }
    respond(id, 200,
            {{"name", name},
             {"version", it->second.version},
             {"document", it->second.document},
             {"store", store_version_}});
}

void platform_standin::read_prefix(const http_request& request)
{
    const std::string* prefix = find_header(request.query, "prefix");
    const std::string wanted = prefix == nullptr ? "" : *prefix;
    if (find_header(request.query, "watch") == nullptr) {
        ++counts_["lists"];
        respond(request.id, 200,
                {{"objects", changed_objects(wanted, 0, false)}, {"store", store_version_}});
        return;
    }
    watch(request.id, wanted, numeric_value(request.query, "after"),
          numeric_value(request.query, "timeout_ms", 30'000));
}

void platform_standin::watch(exchange_id id, const std::string& prefix, std::uint64_t after,
                             std::uint64_t timeout_ms)
{
    ++counts_["watches"];
    if (faults_.silent_watches) {
        return;
    }
    watches_.push_back({id, prefix, after});
    if (!changed_objects(prefix, after, true).empty()) {
        end_watch(id);
        return;
    }
    http_.delays.after(std::chrono::milliseconds{timeout_ms}, [this, id] { end_watch(id); });
}

void platform_standin::write(const http_request& request, const std::string& name)
{
    const bool is_deletion = request.method == "DELETE";
    if (!is_deletion && request.method != "PUT") {
        respond(request.id, 405, {{"error", "only GET, PUT and DELETE are served"}});
        return;
    }
    ++counts_["writes"];
    if (request.body.size() > max_object_size) {
        respond(request.id, 413, {{"error", "the document is too large"}});
        return;
    }
    if (!is_utf8(request.body)) {
        respond(request.id, 400, {{"error", "the document is not UTF-8"}});
        return;
    }
    auto& it = objects_[name];
    const std::uint64_t current = it.is_deleted ? 0 : it.version;
    if (current != expected_version(request)) {
        ++counts_["conflicts"];
        respond(request.id, 412, {{"current", current}});
        return;
    }
    it.version = ++store_version_;
    it.document = request.body;
    it.is_deleted = is_deletion;
    ++counts_["writes_applied"];
    respond_to_write(request.id, {{"version", it.version}});
    notify(name);
}

void platform_standin::respond(exchange_id id, int status, const json& body)
{
    http_.respond(id, status, body, std::chrono::milliseconds{faults_.latency_ms});
}

void platform_standin::respond_to_write(exchange_id id, const json& body)
{
    if (faults_.lose_responses > 0) {
        --faults_.lose_responses;
        ++counts_["answers_lost"];
        return;
    }
    respond(id, 200, body);
}

void platform_standin::notify(const std::string& name)
{
    std::vector<exchange_id> matching;
    for (const auto& it : watches_) {
        if (name.starts_with(it.prefix)) {
            matching.push_back(it.id);
        }
    }
    for (const exchange_id id : matching) {
        end_watch(id);
    }
}

void platform_standin::end_watch(exchange_id id)
{
    const auto it = std::find_if(watches_.begin(), watches_.end(),
                                 [id](const auto& watch) { return watch.id == id; });
    if (it == watches_.end() || faults_.silent_watches) {
        return;
    }
    const json body = {{"objects", changed_objects(it->prefix, it->after, true)},
                       {"store", store_version_}};
    watches_.erase(it);
    respond(id, 200, body);
}

json platform_standin::changed_objects(const std::string& prefix, std::uint64_t after,
                                       bool include_deleted) const
{
    json found = json::array();
    for (auto it = objects_.lower_bound(prefix);
         it != objects_.end() && it->first.starts_with(prefix); ++it) {
        const stored_object& object = it->second;
        if (object.version <= after || (object.is_deleted && !include_deleted)) {
            continue;
        }
        found.push_back({{"name", it->first},
                         {"version", object.version},
                         {"document", object.is_deleted ? "" : object.document}});
    }
    return found;
}

bool platform_standin::is_within_rate_limit(std::uint64_t rate, rate_window& window)
{
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(loop_->now().time_since_epoch()).count();
    if (window.second != second) {
        window = {second, 0};
    }
    return rate == 0 || ++window.calls <= rate;
}

void platform_standin::control(const json& change)
{
    faults_.outage = change.value("outage", faults_.outage);
    faults_.hang = change.value("hang", faults_.hang);
    faults_.silent_watches = change.value("silent_watches", faults_.silent_watches);
    faults_.latency_ms = change.value("latency_ms", faults_.latency_ms);
    faults_.lose_responses = change.value("lose_answers", faults_.lose_responses);
    if (change.contains("rate")) {
        faults_.read_rate = faults_.write_rate = change.value("rate", std::uint64_t{0});
    }
    faults_.read_rate = change.value("read_rate", faults_.read_rate);
    faults_.write_rate = change.value("write_rate", faults_.write_rate);
    faults_.vms_lag_ms = change.value("vms_lag_ms", faults_.vms_lag_ms);
    if (change.contains("vms")) {
        http_.delays.after(std::chrono::milliseconds{faults_.vms_lag_ms},
                           [this, vms = change.at("vms")] { vms_ = vms; });
    }
}

json platform_standin::record() const
{
    json counts = counts_;
    counts["store"] = store_version_;
    counts["watches_open"] = watches_.size();
    return counts;
}

} // namespace endivelatch::standins
