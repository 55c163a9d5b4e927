#include "ferryroad/ctl/command_line.hpp"

#include "ferryroad/ctl/errors.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <functional>
#include <memory>
#include <random>
#include <utility>

namespace ferryroad::ctl {

namespace {

constexpr const char* default_router = "127.0.0.1:7070";

std::string random_operation_id() {
    constexpr const char* digits = "0123456789abcdef";
    constexpr std::size_t length = 32;
    std::random_device device;
    std::string id;
    for (std::size_t index = 0; index < length; ++index) {
        id += digits[device() % 16];
    }
    return id;
}

std::string default_author() {
    for (const char* variable : {"FERRYCTL_AUTHOR", "USER"}) {
        const char* value = std::getenv(variable);
        if (value != nullptr && *value != '\0') {
            return value;
        }
    }
    return "ferryctl";
}

/// The CLI11 application and the variables that it fills.
class parser {
  public:
    parser()
        : app_("Drives ferryroad's routers: declares tenants, models, pools and routes.",
               "ferryctl") {
        app_.require_subcommand(1);
        app_.fallthrough();
        add_globals();
        add_apply();
        add_file_command("plan", "Shows what apply would change.", plan_);
        add_file_command("validate", "Checks a desired-state file without contacting a router.",
                         validate_);
        add_get();
        add_watch();
        add("status", "Shows routers and engines as one router sees them.",
            [this] { return status_command{}; });
        add_drain();
        add_confirm();
        add_explain();
        add_completion();
    }

    CLI::App& app() { return app_; }

    options take() {
        for (const std::string& router : routers_) {
            options_.routers.push_back(*base::endpoint::parse(router));
        }
        options_.output = output_ == "json" ? output_format::json : output_format::table;
        options_.timeout = std::chrono::milliseconds(timeout_);
        return options_;
    }

  private:
    CLI::App* add(const std::string& name, const std::string& description,
                  std::function<command()> make) {
        CLI::App* sub = app_.add_subcommand(name, description);
        sub->callback([this, make = std::move(make)] { options_.chosen = make(); });
        return sub;
    }

    void add_globals() {
        const auto is_endpoint = [](const std::string& text) {
            return base::endpoint::parse(text) ? std::string()
                                               : "value " + text + ": expected IP:PORT";
        };
        app_.add_option("--router", routers_,
                        "A router's operator address, IP:PORT; may be repeated, the next one is "
                        "tried when one can't be reached")
            ->check(is_endpoint)
            ->take_all()
            ->default_val(std::vector<std::string>{default_router});
        app_.add_option("--output", output_, "How answers are printed")
            ->check(CLI::IsMember({"table", "json"}))
            ->default_val("table");
        app_.add_option("--timeout-ms", timeout_, "Time for the whole command, retries included")
            ->check(CLI::Range(1U, 3600000U))
            ->default_val(10000);
    }

    template <typename Command>
    CLI::App* add_file_command(const std::string& name, const std::string& description,
                               Command& target) {
        CLI::App* sub = add(name, description, [&target] { return target; });
        sub->add_option("-f,--file", target.file, "Desired-state file (JSON)")->required();
        return sub;
    }

    void add_change_options(CLI::App* sub, change_options& target) {
        target.operation_id = random_operation_id();
        sub->add_option("--operation-id", target.operation_id,
                        "Repeats that operation: it takes effect once (default: a random id)");
        add_author(sub, target.author);
    }

    void add_author(CLI::App* sub, std::string& target) {
        target = default_author();
        sub->add_option("--author", target,
                        "Author recorded with the change (default: $FERRYCTL_AUTHOR, then $USER)");
    }

    void add_apply() {
        CLI::App* sub = add_file_command("apply", "Applies a desired-state file.", apply_);
        sub->add_option("--expect-revision", apply_.expected_revision,
                        "Refuse the change unless this revision is in force");
        sub->add_flag("--dry-run", apply_.dry_run, "Show the differences, change nothing");
        add_change_options(sub, apply_.change);
    }

    void add_get() {
        CLI::App* sub = add("get", "Shows the configuration in force.", [this] { return get_; });
        sub->add_flag("--as-file", get_.as_file, "Print a desired-state file for apply -f");
    }

    void add_watch() {
        CLI::App* sub =
            add("watch", "Prints each revision as it comes into force.", [this] { return watch_; });
        sub->add_option("--after", watch_.after,
                        "Print revisions after this one (default: the current one)");
        sub->add_option("--count", watch_.count, "End after this many revisions (default: never)");
    }

    void add_drain() {
        CLI::App* sub =
            add("drain", "Stops sending new requests to an engine.", [this] { return drain_; });
        sub->add_option("engine", drain_.engine, "Name of the engine")->required();
        sub->add_flag("--undo", drain_.undo, "Send requests to it again");
        add_change_options(sub, drain_.change);
    }

    void add_confirm() {
        CLI::App* sub =
            add("confirm",
                "Confirms that the revision that the routers hold is the newest; needed only "
                "when all restarted while the platform's table is down.",
                [this] { return confirm_; });
        sub->add_option("revision", confirm_.revision, "The newest revision that was applied")
            ->required();
        add_author(sub, confirm_.author);
    }

    void add_explain() {
        CLI::App* sub = add("explain", "Shows how the engine for a request was chosen.",
                            [this] { return explain_; });
        sub->add_option("request-id", explain_.request_id, "The answer's Ferryroad-Request-Id")
            ->required();
        sub->add_option(
            "--log", explain_.logs,
            "Print the request's lines from these log files instead of asking a router");
    }

    void add_completion() {
        CLI::App* sub = add("completion", "Prints a completion script for a shell.",
                            [this] { return completion_; });
        sub->add_option("shell", completion_.shell, "The shell")
            ->check(CLI::IsMember({"bash"}))
            ->required();
    }

    CLI::App app_;
    options options_;
    std::vector<std::string> routers_;
    std::string output_;
    unsigned timeout_ = 0;
    apply_command apply_;
    plan_command plan_;
    validate_command validate_;
    get_command get_;
    watch_command watch_;
    drain_command drain_;
    confirm_command confirm_;
    explain_command explain_;
    completion_command completion_;
};

std::string long_flags(const CLI::App& app) {
    std::string flags;
    for (const CLI::Option* option : app.get_options()) {
        for (const std::string& name : option->get_lnames()) {
            flags += " --" + name;
        }
    }
    return flags;
}

}  // namespace

std::variant<options, int> read_command_line(int argc, const char* const* argv, std::ostream& out,
                                             std::ostream& err) {
    parser reader;
    try {
        reader.app().parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        const bool help = reader.app().exit(failure, out, err) == 0;
        return static_cast<int>(help ? exit_code::success : exit_code::invalid);
    }
    return reader.take();
}

std::string bash_completion() {
    parser reader;
    std::string names;
    std::string cases;
    for (const CLI::App* sub : reader.app().get_subcommands({})) {
        names += (names.empty() ? "" : " ") + sub->get_name();
        cases += "        " + sub->get_name() + ") words=\"" + long_flags(*sub) + "\" ;;\n";
    }
    return "_ferryctl() {\n"
           "    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}\n"
           "    local word words=\"" +
           names +
           "\"\n"
           "    COMPREPLY=()\n"
           "    case $previous in\n"
           "        -f|--file) COMPREPLY=($(compgen -f -- \"$current\")); return ;;\n"
           "        --output) COMPREPLY=($(compgen -W \"table json\" -- \"$current\")); return ;;\n"
           "        completion) COMPREPLY=($(compgen -W \"bash\" -- \"$current\")); return ;;\n"
           "    esac\n"
           "    for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
           "        case $word in\n" +
           cases +
           "        esac\n"
           "    done\n"
           "    COMPREPLY=($(compgen -W \"$words" +
           long_flags(reader.app()) +
           "\" -- \"$current\"))\n"
           "}\n"
           "complete -F _ferryctl ferryctl\n";
}

}  // namespace ferryroad::ctl
