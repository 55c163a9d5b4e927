#include "ferryroad/ctl/commands.hpp"

#include "ferryroad/catalog/codec.hpp"
#include "ferryroad/ctl/command_line.hpp"
#include "ferryroad/ctl/printer.hpp"
#include "ferryroad/ctl/request_log.hpp"
#include "ferryroad/ctl/router_client.hpp"
#include "ferryroad/operator/messages/catalog_codec.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <fstream>
#include <iterator>
#include <ostream>
#include <string>
#include <utility>

namespace ferryroad::ctl {

namespace {

namespace leaf = boost::leaf;
namespace v1 = operators::v1;

/// Converts the catalog layer's errors into an exit code and messages prefixed with `source`.
template <typename Decode>
result<catalog::catalog> read_catalog(const std::string& source, Decode decode) {
    using outcome = result<catalog::catalog>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<outcome> {
            BOOST_LEAF_AUTO(declared, decode());
            return outcome(std::move(declared));
        },
        [&](const catalog::invalid_catalog& invalid) {
            std::string lines;
            for (const catalog::error& fault : invalid.faults) {
                lines += (lines.empty() ? "" : "\n") + source + ": " + fault.to_string();
            }
            return outcome(error{exit_code::invalid, std::move(lines)});
        },
        [&]() {
            return outcome(error{exit_code::invalid, source + ": can't be read"});
        });
}

result<catalog::catalog> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return error{exit_code::invalid, path + ": can't be opened"};
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    return read_catalog(path, [&] { return catalog::decode_desired_state(text); });
}

/// Visitor that runs the chosen command; it has one call operator for each command.
class runner {
  public:
    runner(const options& chosen, std::ostream& out)
        : printer_(chosen.output, out), out_(out), client_(chosen.routers, chosen.timeout) {}

    result<void> operator()(const validate_command& command) {
        auto declared = read_file(command.file);
        if (!declared) {
            return declared.error();
        }
        printer_.print_valid(*declared);
        return {};
    }

    result<void> operator()(const plan_command& command) {
        auto declared = read_file(command.file);
        if (!declared) {
            return declared.error();
        }
        v1::PlanRequest request;
        operators::encode_state(*declared, *request.mutable_desired());
        return print(client_.plan(request));
    }

    result<void> operator()(const apply_command& command) {
        if (command.dry_run) {
            return (*this)(plan_command{command.file});
        }
        auto declared = read_file(command.file);
        if (!declared) {
            return declared.error();
        }
        v1::ApplyRequest request;
        operators::encode_state(*declared, *request.mutable_desired());
        if (command.expected_revision) {
            request.set_expected_revision(*command.expected_revision);
        }
        request.set_operation_id(command.change.operation_id);
        request.set_author(command.change.author);
        return print(with_operation(client_.apply(request), command.change));
    }

    result<void> operator()(const get_command& command) {
        auto answer = client_.get();
        if (!answer) {
            return answer.error();
        }
        auto in_force =
            read_catalog("router", [&] { return operators::decode_state(answer->state()); });
        if (!in_force) {
            return in_force.error();
        }
        in_force->revision = base::revision(answer->revision());
        if (command.as_file) {
            printer_.print_file(*in_force);
        } else {
            printer_.print(*in_force);
        }
        return {};
    }

    result<void> operator()(const watch_command& command) {
        std::uint64_t after = 0;
        if (command.after) {
            after = *command.after;
        } else {
            auto now = client_.get();
            if (!now) {
                return now.error();
            }
            after = now->revision();
        }
        std::uint64_t seen = 0;
        return client_.watch(after, [&](const v1::WatchEvent& event) {
            printer_.print(event);
            ++seen;
            return command.count == 0 || seen < command.count;
        });
    }

    result<void> operator()(const status_command& /*command*/) { return print(client_.status()); }

    result<void> operator()(const drain_command& command) {
        v1::DrainRequest request;
        request.set_engine(command.engine);
        request.set_undo(command.undo);
        request.set_operation_id(command.change.operation_id);
        request.set_author(command.change.author);
        return print(with_operation(client_.drain(request), command.change));
    }

    result<void> operator()(const confirm_command& command) {
        v1::ConfirmRequest request;
        request.set_revision(command.revision);
        request.set_author(command.author);
        return print(client_.confirm(request));
    }

    result<void> operator()(const explain_command& command) {
        if (!command.logs.empty()) {
            return print_request_log(command);
        }
        v1::ExplainRequest request;
        request.set_request_id(command.request_id);
        return print(client_.explain(request));
    }

    result<void> operator()(const completion_command& /*command*/) {
        out_ << bash_completion();
        return {};
    }

  private:
    result<void> print_request_log(const explain_command& command) {
        std::vector<log_entry> entries;
        for (const std::string& file : command.logs) {
            std::ifstream log(file);
            if (!log) {
                return error{exit_code::invalid, file + ": can't be read"};
            }
            for (log_entry& parsed_entry : find_log_entries(log, command.request_id)) {
                entries.push_back(std::move(parsed_entry));
            }
        }
        if (entries.empty()) {
            return error{exit_code::not_found,
                         "no log line has the request id " + command.request_id};
        }
        print_log_entries(std::move(entries), out_);
        return {};
    }

    template <typename Answer>
    result<void> print(const result<Answer>& answer) {
        if (!answer) {
            return answer.error();
        }
        printer_.print(*answer);
        return {};
    }

    /// Where the outcome is unknown, adds to the message the operation id for a retry.
    template <typename Answer>
    static result<Answer> with_operation(result<Answer> answer, const change_options& change) {
        if (!answer && answer.error().code == exit_code::outcome_unknown) {
            return error{
                exit_code::outcome_unknown,
                answer.error().message + "\nrepeat it with --operation-id " + change.operation_id};
        }
        return answer;
    }

    printer printer_;
    std::ostream& out_;
    router_client client_;
};

}  // namespace

exit_code run_command(const options& chosen, std::ostream& out, std::ostream& err) {
    runner run(chosen, out);
    const result<void> ended = std::visit(run, chosen.chosen);
    if (ended) {
        return exit_code::success;
    }
    err << ended.error().message << '\n';
    return ended.error().code;
}

}  // namespace ferryroad::ctl
