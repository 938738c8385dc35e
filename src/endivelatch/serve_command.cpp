#include "command.hpp"
#include "setting_reader.hpp"

#include "endivelatch/entry/entry_process.hpp"
#include "endivelatch/entry/fatal_signal.hpp"
#include "endivelatch/entry/vm_limits.hpp"
#include "platform/protocol.hpp"

#include <csignal>
#include <memory>

#include <malloc.h>
#include <spdlog/pattern_formatter.h>

namespace endivelatch {

namespace {

constexpr const char* usage = R"(Runs an entry router, which forwards requests directly to targets.

Usage:
  endivelatch serve [options]

Each option may be given as an environment variable instead: --metrics as ENDIVELATCH_METRICS.

Options:
  --boot=PATH           Settings file of the platform; reloaded on SIGHUP and when it changes.
  --metrics=IP:PORT     Address that serves the metrics; none if not given.
  --memory-mb=MB        Memory of this VM, if the settings file does not state it; by default the limit
                        of the control group.
  --log-level=LEVEL     info, warn or error; info if not given.
  -h --help             Show this help text.
)";

/// Reads the settings file and the options; returns the settings or all errors found.
result<entry_settings> read_settings(setting_reader& options, settings_file& file)
{
    const auto text = file.read();
    if (!text) {
        return one_finding(file.path(), "cannot be read");
    }
    auto read = platform::protocol::read_settings(*text);
    if (!has_value(read)) {
        return read;
    }
    auto settings = std::get<entry_settings>(std::move(read));
    if (!options.string("metrics", "").empty()) {
        settings.metrics = options.address("metrics");
    }
    constexpr std::size_t bytes_per_megabyte = 1'000'000;
    constexpr std::uint64_t max_memory_mb = 16'777'216;
    if (settings.memory_limit == 0) {
        settings.memory_limit =
            options.number("memory-mb", 0, 0, max_memory_mb) * bytes_per_megabyte;
    }
    if (settings.memory_limit == 0) {
        settings.memory_limit = read_memory_limit();
    }
    if (settings.descriptor_limit == 0) {
        settings.descriptor_limit = read_descriptor_limit();
    }
    if (!options.errors().empty()) {
        return options.errors();
    }
    return settings;
}

std::shared_ptr<spdlog::logger> make_logger(const std::shared_ptr<bounded_sink>& sink,
                                            const std::string& level)
{
    auto log = std::make_shared<spdlog::logger>("serve", sink);
    log->set_formatter(std::make_unique<spdlog::pattern_formatter>(
        "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc));
    log->set_level(spdlog::level::from_str(level == "warn" ? "warning" : level));
    return log;
}

/// Makes the allocator return large blocks, such as bodies, to the system when they are freed. By
/// default its threshold grows with the largest block freed so far.
void return_large_blocks()
{
    constexpr int threshold = 262'144;
    constexpr int kept_at_top = 1'048'576;
    mallopt(M_MMAP_THRESHOLD, threshold);
    mallopt(M_TRIM_THRESHOLD, kept_at_top);
}

} // namespace

exit_code run_serve(const std::vector<std::string>& args)
{
    // The default action of these signals would end the process before their watchers exist.
    for (const int signal_number : {SIGPIPE, SIGHUP, SIGUSR1, SIGUSR2}) {
        std::signal(signal_number, SIG_IGN);
    }
    log_fatal_signals();
    return_large_blocks();
    const auto parsed = parse_arguments(usage, args);
    if (const auto* code = std::get_if<exit_code>(&parsed)) {
        return *code;
    }
    setting_reader options{std::get<arguments>(parsed), process_environment()};
    settings_file file{options.required_string("boot")};
    const auto settings = read_settings(options, file);
    if (!has_value(settings)) {
        print_findings(findings_of(settings));
        return exit_code::usage;
    }
    const auto sink = make_stdout_sink();
    event_loop loop;
    entry_process<platform::protocol> process{
        loop, value_of(settings), file.path(), sink,
        make_logger(sink, options.string("log-level", "info"))};
    const auto errors = process.start();
    if (!errors.empty()) {
        print_findings(errors);
        return exit_code::failure;
    }
    loop.run();
    return exit_code::success;
}

} // namespace endivelatch
