#include "endivelatch/core/call.hpp"

#include "endivelatch/base/json_text.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr std::uint32_t default_answer_tokens = 256;
constexpr std::uint32_t max_answer_tokens = 32'768;
constexpr std::size_t bytes_per_token = 4;
constexpr std::int64_t max_deadline_ms = 600'000;
constexpr std::size_t max_id_length = 128;

std::string header(const http_received& http, const std::string& name)
{
    const auto it = http.headers.find(name);
    return it == http.headers.end() ? std::string{} : it->second;
}

std::string query(const http_received& http, const std::string& name)
{
    const auto it = http.query.find(name);
    return it == http.query.end() ? std::string{} : it->second;
}

template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number n{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

refused_call refuse(int status, std::string place, std::string message)
{
    return {status, one_finding(std::move(place), std::move(message))};
}

/// Reads the optional request headers and collects validation errors.
class header_reader {
public:
    header_reader(const http_received& http, findings& errors) : http_{http}, errors_{errors} {}

    /// Returns an identifier, or an empty one if the header is missing or too long.
    template <class Id>
    Id id(const std::string& name)
    {
        auto text = header(http_, name);
        if (text.size() > max_id_length) {
            errors_.push_back({"header " + name, "is longer than 128 bytes"});
            text.clear();
        }
        return Id{std::move(text)};
    }

    /// Returns the priority, or zero if the header is missing or invalid.
    std::int32_t priority()
    {
        const auto text = header(http_, "x-endivelatch-priority");
        if (text.empty()) {
            return 0;
        }
        const auto n = parse_number<std::int32_t>(text);
        if (!n) {
            errors_.push_back({"header x-endivelatch-priority", "is not a whole number"});
        }
        return n.value_or(0);
    }

    /// Returns the maximum wait before the run starts, if given.
    std::optional<duration> deadline()
    {
        const auto text = header(http_, "x-endivelatch-deadline-ms");
        if (text.empty()) {
            return std::nullopt;
        }
        const auto n = parse_number<std::int64_t>(text);
        if (!n || *n <= 0 || *n > max_deadline_ms) {
            errors_.push_back({"header x-endivelatch-deadline-ms",
                               "is not a number of milliseconds from 1 to 600000"});
            return std::nullopt;
        }
        return std::chrono::milliseconds{*n};
    }

private:
    const http_received& http_;
    findings& errors_;
};

void read_model(const json& body, chat_call& out, findings& errors)
{
    const auto it = body.find("model");
    if (it == body.end() || !it->is_string() || it->get<std::string>().empty()) {
        errors.push_back({"/model", "is required and must be a non-empty string"});
        return;
    }
    out.model = it->get<std::string>();
}

void read_messages(const json& body, findings& errors)
{
    const auto it = body.find("messages");
    if (it == body.end() || !it->is_array() || it->empty()) {
        errors.push_back({"/messages", "is required and must be a non-empty array"});
    }
}

void read_stream(const json& body, chat_call& out, findings& errors)
{
    const auto it = body.find("stream");
    if (it == body.end()) {
        return;
    }
    if (!it->is_boolean()) {
        errors.push_back({"/stream", "must be true or false"});
        return;
    }
    out.streams = it->get<bool>();
}

std::uint32_t read_max_tokens(const json& body, findings& errors)
{
    const auto it = body.find("max_tokens");
    if (it == body.end()) {
        return default_answer_tokens;
    }
    if (!it->is_number_integer() || it->get<std::int64_t>() < 1 ||
        it->get<std::int64_t>() > max_answer_tokens) {
        errors.push_back({"/max_tokens", "must be a whole number from 1 to 32768"});
        return default_answer_tokens;
    }
    return it->get<std::uint32_t>();
}

std::variant<caller_call, refused_call> parse_chat(const http_received& http)
{
    if (header(http, "content-type").rfind("application/json", 0) != 0) {
        return refuse(415, "header content-type", "must be application/json");
    }
    const auto body = parse_json(*http.body);
    if (body.is_discarded() || !body.is_object()) {
        return refuse(400, "body", "is not a JSON object");
    }
    chat_call out;
    findings errors;
    read_model(body, out, errors);
    read_messages(body, errors);
    read_stream(body, out, errors);
    const auto answer_tokens = read_max_tokens(body, errors);
    out.work_tokens =
        answer_tokens + static_cast<std::uint32_t>(http.body->size() / bytes_per_token);
    header_reader headers{http, errors};
    out.chat = headers.id<chat_id>("x-endivelatch-chat");
    out.caller = headers.id<caller_id>("x-endivelatch-caller");
    out.hint = header(http, "x-endivelatch-hint");
    out.priority = headers.priority();
    out.deadline = headers.deadline();
    if (!errors.empty()) {
        return refused_call{400, std::move(errors)};
    }
    return caller_call{std::move(out)};
}

std::variant<caller_call, refused_call> parse_service(const http_received& http,
                                                      std::string_view rest)
{
    if (http.method != "GET" && http.method != "POST") {
        return refuse(405, "method", "must be GET or POST");
    }
    const auto slash = rest.find('/');
    service_call out;
    out.service = pool_id{std::string{rest.substr(0, slash)}};
    out.path = slash == std::string_view::npos ? "/" : std::string{rest.substr(slash)};
    out.method = http.method;
    findings errors;
    if (out.service.empty()) {
        errors.push_back({"path", "does not contain a service"});
    }
    header_reader headers{http, errors};
    out.caller = headers.id<caller_id>("x-endivelatch-caller");
    out.key = headers.id<booking_key>("idempotency-key");
    out.deadline = headers.deadline();
    if (!errors.empty()) {
        return refused_call{400, std::move(errors)};
    }
    return caller_call{std::move(out)};
}

std::variant<caller_call, refused_call> parse_request(const http_received& http,
                                                      std::string_view rest)
{
    constexpr std::string_view events = "/events";
    const bool resumes = rest.size() > events.size() && rest.ends_with(events);
    const auto token = resumes ? rest.substr(0, rest.size() - events.size()) : rest;
    const auto at = token.rfind('@');
    const auto id = parse_request_id(token.substr(0, at));
    if (at == std::string_view::npos || !id) {
        return refuse(404, "path", "does not contain a valid request token");
    }
    const router_id owner{std::string{token.substr(at + 1)}};
    if (!resumes) {
        return http.method == "DELETE"
                   ? std::variant<caller_call, refused_call>{caller_call{cancel_call{*id, owner}}}
                   : refuse(405, "method", "must be DELETE");
    }
    if (http.method != "GET") {
        return refuse(405, "method", "must be GET");
    }
    const auto last_id = header(http, "last-event-id");
    const auto text = last_id.empty() ? query(http, "after") : last_id;
    const auto after = text.empty() ? std::uint64_t{0} : parse_number<std::uint64_t>(text);
    if (!after) {
        return refuse(400, "query after", "is not a whole number");
    }
    return caller_call{resume_call{*id, owner, event_number{*after}}};
}

} // namespace

std::variant<caller_call, refused_call> parse_call(const http_received& http)
{
    const std::string_view path = http.path;
    constexpr std::string_view services = "/v1/services/";
    constexpr std::string_view requests = "/v1/requests/";
    constexpr std::string_view admin = "/admin/v1/";
    if (path == "/v1/chat/completions") {
        return http.method == "POST" ? parse_chat(http) : refuse(405, "method", "must be POST");
    }
    if (path.starts_with(services)) {
        return parse_service(http, path.substr(services.size()));
    }
    if (path.starts_with(requests)) {
        return parse_request(http, path.substr(requests.size()));
    }
    if (path.starts_with(admin)) {
        return caller_call{admin_call{http.method, std::string{path.substr(admin.size())}}};
    }
    if (http.method != "GET") {
        return refuse(404, "path", "\"" + http.path + "\" does not exist");
    }
    if (path == "/v1/entry") {
        return caller_call{entry_call{chat_id{query(http, "chat")}, query(http, "hint")}};
    }
    if (path == "/health") {
        return caller_call{probe_call::health};
    }
    if (path == "/metrics") {
        return caller_call{probe_call::metrics};
    }
    return refuse(404, "path", "\"" + http.path + "\" does not exist");
}

std::string bearer_key(const header_map& headers)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto it = headers.find("authorization");
    if (it == headers.end() || !it->second.starts_with(scheme)) {
        return {};
    }
    return it->second.substr(scheme.size());
}

std::string request_token(const request_id& request, const router_id& owner)
{
    return to_string(request) + '@' + owner.str();
}

} // namespace endivelatch
