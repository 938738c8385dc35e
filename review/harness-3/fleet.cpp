#include "fleet.hpp"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace endivelatch::review {

namespace {

constexpr std::string_view objects_path = "/-/objects/";

/// Returns the value of a query parameter, or an empty string.
std::string query_value(const std::string& target, const std::string& name)
{
    const auto query = target.find('?');
    if (query == std::string::npos) {
        return {};
    }
    std::istringstream parameters{target.substr(query + 1)};
    std::string parameter;
    while (std::getline(parameters, parameter, '&')) {
        if (parameter.starts_with(name + "=")) {
            return parameter.substr(name.size() + 1);
        }
    }
    return {};
}

std::string word(const std::string& line, std::size_t n)
{
    std::istringstream words{line};
    std::string it;
    for (std::size_t i = 0; i <= n; ++i) {
        words >> it;
    }
    return it;
}

std::vector<char*> pointers_to(std::vector<std::string>& texts)
{
    std::vector<char*> all;
    all.reserve(texts.size() + 1);
    for (auto& it : texts) {
        all.push_back(it.data());
    }
    all.push_back(nullptr);
    return all;
}

} // namespace

store::store() : server_{"127.0.0.1", 0, [this](connection& conn) { serve(conn); }} {}

std::uint64_t store::put_locked(const std::string& kind, const std::string& name, const json& spec)
{
    auto& it = objects_[kind][name];
    if (it.revision > 0 && it.spec == spec) {
        return it.revision; // A write that changes nothing does not increase the revision.
    }
    it = {++revision_, spec};
    history_.push_back(
        {revision_, kind, {{"Object", format_object(name, it)}, {"Deleted", false}}});
    changed_.notify_all();
    return revision_;
}

std::uint64_t store::put(const std::string& kind, const std::string& name, const json& spec)
{
    const std::lock_guard lock{mutex_};
    return put_locked(kind, name, spec);
}

void store::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock{mutex_};
    auto node = objects_[kind].extract(name);
    if (node.empty()) {
        return;
    }
    node.mapped().revision = ++revision_;
    history_.push_back(
        {revision_, kind, {{"Object", format_object(name, node.mapped())}, {"Deleted", true}}});
    changed_.notify_all();
}

std::uint64_t store::revision()
{
    const std::lock_guard lock{mutex_};
    return revision_;
}

void store::make_copy()
{
    const std::lock_guard lock{mutex_};
    copy_ = objects_;
    copy_revision_ = revision_;
}

void store::restore_copy()
{
    const std::lock_guard lock{mutex_};
    objects_ = copy_;
    revision_ = copy_revision_;
    std::erase_if(history_, [this](const auto& it) { return it.revision > copy_revision_; });
    ++era_;
    changed_.notify_all();
}

void store::set_away(bool is_away)
{
    is_away_ = is_away;
    changed_.notify_all();
}

json store::format_object(const std::string& name, const object& it)
{
    return {
        {"Metadata", {{"Name", name}, {"Revision", it.revision}, {"Finalizers", json::array()}}},
        {"Spec", it.spec},
        {"Status", json::object()}};
}

std::string store::format(int status, const json& body) const
{
    return format_message(
        "HTTP/1.1 " + std::to_string(status) + " Status",
        {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}}, body.dump());
}

void store::serve(connection& conn)
{
    while (const auto request = conn.read_message(false)) {
        if (is_away_) {
            return;
        }
        ++calls_;
        const auto text = answer(*request);
        if (is_away_ || !conn.send(text)) {
            return;
        }
    }
}

std::string store::answer(const http_message& request)
{
    const auto method = word(request.start_line, 0);
    const auto target = word(request.start_line, 1);
    const auto path = target.substr(0, target.find('?'));
    if (!path.starts_with(objects_path)) {
        return format(404, json::object());
    }
    const auto rest = path.substr(objects_path.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    if (method == "POST") {
        const auto object = json::parse(request.body);
        const auto name = object["Metadata"]["Name"].get<std::string>();
        const std::lock_guard lock{mutex_};
        if (objects_[kind].contains(name)) {
            return format(409, format_object(name, objects_[kind][name]));
        }
        put_locked(kind, name, object["Spec"]);
        return format(200, format_object(name, objects_[kind][name]));
    }
    if (method == "DELETE") {
        remove(kind, rest.substr(slash + 1));
        return format(200, json::object());
    }
    const auto after = query_value(target, "Watch");
    if (after.empty()) {
        return list(kind, query_value(target, "After"));
    }
    return watch(kind, std::stoull(after), std::stoi("0" + query_value(target, "WaitMs")));
}

std::string store::list(const std::string& kind, const std::string& after)
{
    const std::lock_guard lock{mutex_};
    auto items = json::array();
    for (const auto& [name, it] : objects_[kind]) {
        if (name > after) {
            items.push_back(format_object(name, it));
        }
    }
    return format(200, {{"Items", items}, {"HasMore", false}, {"At", revision_}});
}

std::string store::watch(const std::string& kind, std::uint64_t after, int wait_ms)
{
    std::unique_lock lock{mutex_};
    const auto era = era_;
    const auto events = [&] {
        auto all = json::array();
        for (const auto& it : history_) {
            if (it.kind == kind && it.revision > after) {
                all.push_back(it.event);
            }
        }
        return all;
    };
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds{wait_ms};
    while (era == era_ && !is_away_ && after <= revision_ && events().empty()) {
        if (changed_.wait_until(lock, until) == std::cv_status::timeout) {
            break;
        }
    }
    if (era != era_ || after > revision_ || after < first_watchable_) {
        return format(410, json::object()); // A revision that this store does not have.
    }
    return format(200, {{"events", events()}, {"At", revision_}});
}

json make_registration(const std::string& service, int port, const std::string& state)
{
    return {{"Service", service},
            {"Address", "127.0.0.1:" + std::to_string(port)},
            {"Zone", "zone-gent"},
            {"Version", "v1"},
            {"Slots", 64},
            {"State", state},
            {"ColdRemainingMs", 0},
            {"Sequence", 1},
            {"born", 1'765'000'000'000}};
}

replica::replica(std::string id, std::string service, handler on_request)
    : id_{std::move(id)}, service_{std::move(service)}, on_request_{std::move(on_request)},
      server_{"127.0.0.1", 0, [this](connection& conn) { serve(conn); }}
{
}

header_list replica::answer_headers(const http_message& request) const
{
    return {{"Endivelatch-Attempt-Id", request.header("Endivelatch-Attempt-Id")},
            {"Endivelatch-Response-Signature", "signed-by-" + id_},
            {"Endivelatch-Instance-Load", "1,0,64"}};
}

std::vector<run> replica::runs()
{
    const std::lock_guard lock{mutex_};
    return runs_;
}

void replica::serve(connection& conn)
{
    while (const auto request = conn.read_message(false)) {
        if (word(request->start_line, 1) == "/healthz") {
            conn.send(format_message("HTTP/1.1 200 OK", {{"Endivelatch-Instance-Id", id_}}, ""));
            continue;
        }
        const auto expected = request->header("Endivelatch-Expected-Instance");
        if (!expected.empty() && expected != id_) {
            conn.send(format_message(
                "HTTP/1.1 421 Misdirected Request",
                {{"Endivelatch-Attempt-Id", request->header("Endivelatch-Attempt-Id")},
                 {"Endivelatch-Instance-Id", id_}},
                ""));
            continue;
        }
        {
            const std::lock_guard lock{mutex_};
            runs_.push_back({now_ms(), id_, *request});
        }
        if (!on_request_(conn, *request)) {
            return;
        }
    }
}

replica_process::replica_process(const std::vector<std::string>& arguments, recorder& record)
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        return;
    }
    std::vector<std::string> command{"/proc/self/exe", "replica"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    std::vector<std::string> environment{"PATH=/usr/bin:/bin"};
    auto argv = pointers_to(command);
    auto envp = pointers_to(environment);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    if (posix_spawn(&pid_, argv.front(), &actions, nullptr, argv.data(), envp.data()) != 0) {
        pid_ = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    fd_ = ends[0];
    FILE* lines = fdopen(fd_, "r");
    std::array<char, 512> line{};
    if (lines == nullptr || std::fgets(line.data(), line.size(), lines) == nullptr) {
        return;
    }
    port_ = std::atoi(line.data()); // NOLINT: zero tells that there is no port
    std::thread{[lines, &record] {
        std::array<char, 512> text{};
        while (std::fgets(text.data(), text.size(), lines) != nullptr) {
            std::string_view it{text.data()};
            it.remove_suffix(it.ends_with('\n') ? 1 : 0);
            record.write(std::string{it});
        }
    }}.detach();
}

replica_process::~replica_process()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

router::router(const std::string& dir, int number, int store_port, int internal_port)
    : ip_{"127.0.0." + std::to_string(number)}, log_path_{dir + "/log-" + std::to_string(number)},
      port_{free_port()}
{
    const auto address = [this](int port) { return '"' + ip_ + ":" + std::to_string(port) + '"'; };
    const auto internal = internal_port > 0 ? internal_port : free_port();
    const auto boot = dir + "/boot-" + std::to_string(number) + ".toml";
    std::ofstream{boot}
        << "NodeName = \"edge-zone-gent-" << number
        << "\"\nRole = \"entry\"\nMachineClass = \"edge\"\nServes = [\"edge\",\"registry\"]\n"
        << "Ip = \"" << ip_ << "\"\nZone = \"zone-gent\"\nRegion = \"be-centraal\"\n"
        << "InternalPorts = [" << internal << "," << internal + 15 << "]\nSeeds = []\n"
        << "Bootstrap = true\nDiscovery = \"platform\"\nEntry = \"registry\"\nHeartbeatMs = 1200\n"
        << "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\","
           "\"stream\",\"tenants\",\"platform\"]\n"
        << "[Zones]\nzone-gent = \"be-centraal\"\n[Listen]\nFrontend = " << address(port_)
        << "\nReadiness = " << address(free_port()) << "\nDirectory = " << address(free_port())
        << "\n[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n"
        << "LinkMbps = 1000.0\nDiskMb = 0\n"
        << "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\n"
        << "CatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\n"
        << "RollbackSlackMs = 250\nMaxSkewMs = 5000\nStrictRevocation = false\nRevokeMs = 5000\n"
        << "RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 52\nRecoverS = 12\n"
        << "IterationMs = 120\nReuseWindowS = 10\nCapFactor = 2\nttl_max_s = 5\n"
        << "[Platform]\nAddress = \"127.0.0.1:" << store_port
        << "\"\nform = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\n"
        << "ValueBytes = 1048576\nTtlMinMs = 1000\n";
    const auto metrics = "--metrics=" + ip_ + ":" + std::to_string(free_port());
    const auto boot_variable = "ENDIVELATCH_BOOT=" + boot;
    std::vector<std::string> command{"target/endivelatch", "serve", metrics};
    std::vector<std::string> environment{"PATH=/usr/bin:/bin", "LANG=C.UTF-8", boot_variable};
    auto argv = pointers_to(command);
    auto envp = pointers_to(environment);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log_path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                     0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    if (posix_spawn(&pid_, argv.front(), &actions, nullptr, argv.data(), envp.data()) != 0) {
        pid_ = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
}

router::~router()
{
    if (!has_ended()) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

void router::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

bool router::has_ended()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = -1;
    }
    return pid_ <= 0;
}

int router::readiness() const
{
    // The readiness address is in the settings; a request to no route tells the same: 404 or 401
    // instead of 503.
    auto conn = connection::open(ip_, port_);
    if (!conn ||
        !conn->send(make_request("GET", "/", "probe-" + std::to_string(now_ms()), 1'000, ""))) {
        return 0;
    }
    const auto answer = conn->read_message(true);
    return answer ? std::stoi(word(answer->start_line, 1)) : 0;
}

bool router::wait_until_ready() const
{
    for (const auto until = now_ms() + 10'000; now_ms() < until; sleep_ms(50)) {
        const auto status = readiness();
        if (status == 404 || status == 401) {
            return true;
        }
    }
    return false;
}

std::string router::log() const
{
    std::ifstream in{log_path_};
    return {std::istreambuf_iterator<char>{in}, {}};
}

json make_route(const std::string& name, const std::string& type, const std::string& service,
                int timeout_ms, int max_attempts, bool resumes)
{
    return {{"Name", name},
            {"Host", "repairs.example"},
            {"PathPrefix", "/" + name + "/"},
            {"Type", type},
            {"Service", service},
            {"TimeoutMs", timeout_ms},
            {"TargetLatencyMs", 500},
            {"TargetGapMs", 250},
            {"Priority", 1},
            {"MaxAttempts", max_attempts},
            {"Anonymous", false},
            {"SessionAffinity", type == "streaming"},
            {"StreamResume", resumes}};
}

json make_configuration(int version, const json& routes, const std::vector<std::string>& services,
                        const std::vector<std::string>& keys)
{
    auto all = json::array();
    for (const auto& it : services) {
        all.push_back({{"Name", it}, {"HealthPath", "/healthz"}});
    }
    return {{"Version", version},
            {"Routes", routes},
            {"Services", all},
            {"Limits",
             {{"MaxHeaderBytes", 16'384},
              {"MaxBodyBytes", 1'048'576},
              {"HeaderTimeoutMs", 3'000},
              {"IdleTimeoutMs", 15'000}}},
            {"Tenants", json::array({{{"Name", "workshop"}, {"ApiKeys", keys}}})}};
}

std::string make_request(const std::string& method, const std::string& path,
                         const std::string& attempt, int deadline_ms, const std::string& key,
                         const header_list& more, std::string_view body)
{
    header_list headers{{"Host", "repairs.example"},
                        {"Endivelatch-Attempt-Id", attempt},
                        {"Endivelatch-Deadline-Ms", std::to_string(deadline_ms)}};
    if (!key.empty()) {
        headers.emplace_back("Authorization", "Token " + key);
    }
    headers.insert(headers.end(), more.begin(), more.end());
    const auto line = method + " " + path + " HTTP/1.1";
    return method == "GET" ? format_head(line, headers) : format_message(line, headers, body);
}

std::string make_temporary_folder()
{
    auto name = (std::filesystem::temp_directory_path() / "endivelatch-review-XXXXXX").string();
    return mkdtemp(name.data()) == nullptr ? std::string{} : name;
}

void finish(recorder& record, const std::string& rule, int result)
{
    record.write(result == 1   ? rule + " broken"
                 : result == 0 ? rule + " held"
                               : "the case could not run");
    std::_Exit(result);
}

bool has_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

} // namespace endivelatch::review
