#include "store_standin.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch::standins {

namespace {

using nlohmann::json;

constexpr std::string_view objects_path = "/-/objects/";

/// Returns the value of a query parameter.
std::string query_parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

} // namespace

store_standin::store_standin(event_loop& loop)
    : server_{loop,
              {[this](exchange_number id, request_head&& head, std::string&& body) {
                   on_request(id, head, body);
               },
               [this](exchange_number id) {
                   std::erase_if(pending_watches_, [&](const auto& it) { return it.id == id; });
               },
               {}}},
      delays_{loop}
{
    server_.start({"127.0.0.1", 0});
}

void store_standin::put(const std::string& kind, const std::string& name, const json& spec)
{
    ++revision_;
    spec_texts_.erase({kind, name});
    objects_by_kind_[kind][name] = {{"Metadata", {{"Name", name}, {"Revision", revision_}}},
                                    {"Spec", spec}};
    record_change(kind, object_text(kind, name), false);
}

void store_standin::put_text(const std::string& kind, const std::string& name,
                             const std::string& spec)
{
    ++revision_;
    spec_texts_[{kind, name}] = spec;
    objects_by_kind_[kind][name] = {{"Metadata", {{"Name", name}, {"Revision", revision_}}}};
    record_change(kind, object_text(kind, name), false);
}

std::string store_standin::object_text(const std::string& kind, const std::string& name) const
{
    auto text = objects_by_kind_.at(kind).at(name).dump();
    const auto spec = spec_texts_.find({kind, name});
    if (spec != spec_texts_.end()) {
        text.pop_back();
        text += ",\"Spec\":" + spec->second + "}";
    }
    return text;
}

void store_standin::remove(const std::string& kind, const std::string& name)
{
    ++revision_;
    objects_by_kind_[kind][name]["Metadata"]["Revision"] = revision_;
    const auto object = object_text(kind, name);
    objects_by_kind_[kind].erase(name);
    spec_texts_.erase({kind, name});
    record_change(kind, object, true);
}

void store_standin::record_change(const std::string& kind, const std::string& object,
                                  bool is_deleted)
{
    history_.push_back(
        {revision_, kind,
         "{\"Object\":" + object + ",\"Deleted\":" + (is_deleted ? "true" : "false") + "}"});
    if (mode_ == mode::normal) {
        std::erase_if(pending_watches_,
                      [this](const auto& it) { return respond_to_watch(it, false); });
    }
}

void store_standin::set_mode(mode m)
{
    mode_ = m;
    if (m == mode::normal) {
        for (const auto it : std::exchange(unanswered_requests_, {})) {
            server_.abort(it);
        }
    }
}

void store_standin::discard_history()
{
    history_.clear();
    oldest_watchable_revision_ = ++revision_;
    for (const auto& it : std::exchange(pending_watches_, {})) {
        server_.abort(it.id);
    }
}

void store_standin::make_copy()
{
    copied_objects_ = objects_by_kind_;
    copied_revision_ = revision_;
}

void store_standin::restore_copy(bool keeps_watches)
{
    objects_by_kind_ = copied_objects_;
    revision_ = copied_revision_;
    std::erase_if(history_, [this](const auto& it) { return it.revision > revision_; });
    ++era_;
    if (keeps_watches) {
        return;
    }
    for (const auto& it : std::exchange(pending_watches_, {})) {
        server_.abort(it.id);
    }
}

void store_standin::on_request(exchange_number id, const request_head& head,
                               const std::string& body)
{
    ++request_count_;
    if (mode_ == mode::unresponsive) {
        unanswered_requests_.push_back(id);
        return;
    }
    if (mode_ == mode::unavailable || !head.target.starts_with(objects_path)) {
        respond(id, mode_ == mode::unavailable ? 503 : 404, json::object());
        return;
    }
    const auto path = head.target.substr(0, head.target.find('?'));
    const auto kind_and_name = path.substr(objects_path.size());
    const auto slash = kind_and_name.find('/');
    const auto kind = kind_and_name.substr(0, slash);
    if (kind == absent_kind_) {
        respond(id, 404, json::object());
        return;
    }
    if (head.method == "POST") {
        create(id, kind, body);
        return;
    }
    if (head.method == "DELETE" && slash != std::string::npos) {
        const auto name = kind_and_name.substr(slash + 1);
        const bool is_known = objects_by_kind_[kind].contains(name);
        if (is_known) {
            remove(kind, name);
        }
        respond(id, is_known ? 200 : 404, json::object());
        return;
    }
    const auto after = query_parameter(head.target, "Watch");
    if (after.empty()) {
        list(id, kind, query_parameter(head.target, "After"));
        return;
    }
    watch(id, kind, std::stoull(after), std::stoi(query_parameter(head.target, "WaitMs")));
}

void store_standin::list(exchange_number id, const std::string& kind, const std::string& after)
{
    std::string items;
    std::size_t count = 0;
    const auto& all = objects_by_kind_[kind];
    auto it = after.empty() ? all.begin() : all.upper_bound(after);
    for (; it != all.end() && count < page_size; ++it, ++count) {
        items += (count == 0 ? "" : ",") + object_text(kind, it->first);
    }
    respond_text(id, 200,
                 "{\"Items\":[" + items + "],\"HasMore\":" + (it == all.end() ? "false" : "true") +
                     ",\"At\":" + std::to_string(revision_) + "}");
}

void store_standin::watch(exchange_number id, const std::string& kind, std::uint64_t after,
                          int wait_ms)
{
    if (after < oldest_watchable_revision_ || after > revision_) {
        respond(id, 410, json::object());
        return;
    }
    if (respond_to_watch({id, kind, after}, false)) {
        return;
    }
    pending_watches_.push_back({id, kind, after});
    delays_.after(std::chrono::milliseconds{wait_ms}, [this, id] {
        std::erase_if(pending_watches_, [&](const auto& it) {
            return it.id == id && mode_ == mode::normal && respond_to_watch(it, true);
        });
    });
}

bool store_standin::respond_to_watch(const pending_watch& it, bool has_timed_out)
{
    std::string events;
    for (const auto& recorded : history_) {
        if (recorded.kind == it.kind && recorded.revision > it.after) {
            events += (events.empty() ? "" : ",") + recorded.event;
        }
    }
    if (events.empty() && !has_timed_out) {
        return false;
    }
    respond_text(it.id, 200,
                 "{\"events\":[" + events + "],\"At\":" + std::to_string(revision_) + "}");
    return true;
}

void store_standin::create(exchange_number id, const std::string& kind, const std::string& body)
{
    const auto object = json::parse(body, nullptr, false);
    const auto name = object["Metadata"]["Name"].get<std::string>();
    if (objects_by_kind_[kind].contains(name)) {
        respond(id, 409, objects_by_kind_[kind][name]);
        return;
    }
    put(kind, name, object["Spec"]);
    respond(id, 200, objects_by_kind_[kind][name]);
}

void store_standin::respond(exchange_number id, int status, const json& body)
{
    respond_text(id, status, body.dump());
}

void store_standin::respond_text(exchange_number id, int status, const std::string& body)
{
    server_.respond(id, status,
                    {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}},
                    body);
}

} // namespace endivelatch::standins
