/// @file
/// The platform's ports straight on its model, without a network: for the virtual-time
/// simulator and for tests. Refusals and faults are those of the HTTP adapters.
#pragma once

#include "emulator/platform/platform_model.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/scheduler.hpp"

namespace ferryroad::emulator {

/// Passes a call through the model's decision. Model and scheduler outlive it.
class model_gate {
  public:
    model_gate(platform_model& model, runtime::scheduler& scheduler)
        : model_(model), scheduler_(scheduler) {}

    /// Lets the call's time pass. @return the refusal, or nothing where it is admitted.
    runtime::task<std::optional<platform::error>> admit(platform_service service);
    platform_model& model() { return model_; }
    runtime::scheduler& scheduler() { return scheduler_; }

  private:
    platform_model& model_;
    runtime::scheduler& scheduler_;
};

class model_table final : public platform::table {
  public:
    model_table(platform_model& model, runtime::scheduler& scheduler) : gate_(model, scheduler) {}

    runtime::task<platform::result<std::vector<platform::transaction_outcome>>> transact(
        std::vector<platform::transaction> transactions) override;
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<platform::row_key> keys) override;
    runtime::task<platform::result<std::vector<platform::row>>> scan(std::string prefix,
                                                                     platform::row_key after,
                                                                     std::uint32_t limit) override;

  private:
    model_gate gate_;
};

class model_object_store final : public platform::object_store {
  public:
    model_object_store(platform_model& model, runtime::scheduler& scheduler)
        : gate_(model, scheduler) {}

    runtime::task<platform::result<void>> put(std::string name, std::string bytes) override;
    runtime::task<platform::result<std::string>> get(std::string name) override;

  private:
    model_gate gate_;
};

class model_machine_list final : public platform::machine_list {
  public:
    model_machine_list(platform_model& model, runtime::scheduler& scheduler)
        : gate_(model, scheduler) {}

    runtime::task<platform::result<std::vector<platform::machine>>> list() override;

  private:
    model_gate gate_;
};

}  // namespace ferryroad::emulator
