/// @file
/// Implementations of the platform interfaces that call the platform model directly, without a
/// network. The virtual-time simulator and tests use them; they report the same refusals and
/// faults as the HTTP adapters.
#pragma once

#include "emulator/platform/platform_model.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/scheduler.hpp"

namespace ferryroad::emulator {

/// Applies the model's admission decision to a call. The model and the scheduler must outlive
/// this object.
class call_admission {
  public:
    call_admission(platform_model& model, runtime::scheduler& scheduler)
        : model_(model), scheduler_(scheduler) {}

    /// Waits for the call's simulated delay. @return the refusal, or `nullopt` if the call is
    /// admitted.
    runtime::task<std::optional<platform::error>> admit(platform_service service);
    platform_model& model() { return model_; }
    runtime::scheduler& scheduler() { return scheduler_; }

  private:
    platform_model& model_;
    runtime::scheduler& scheduler_;
};

/// `platform::table` on the model. The model and the scheduler must outlive it.
class emulated_table final : public platform::table {
  public:
    emulated_table(platform_model& model, runtime::scheduler& scheduler)
        : admission_(model, scheduler) {}

    runtime::task<platform::result<std::vector<platform::transaction_outcome>>> transact(
        std::vector<platform::transaction> transactions) override;
    runtime::task<platform::result<std::vector<platform::row>>> read(
        std::vector<platform::row_key> keys) override;
    runtime::task<platform::result<std::vector<platform::row>>> scan(std::string prefix,
                                                                     platform::row_key after,
                                                                     std::uint32_t limit) override;

  private:
    call_admission admission_;
};

/// `platform::object_store` on the model. The model and the scheduler must outlive it.
class emulated_object_store final : public platform::object_store {
  public:
    emulated_object_store(platform_model& model, runtime::scheduler& scheduler)
        : admission_(model, scheduler) {}

    runtime::task<platform::result<void>> put(std::string name, std::string bytes) override;
    runtime::task<platform::result<std::string>> get(std::string name) override;

  private:
    call_admission admission_;
};

/// `platform::machine_list` on the model. The model and the scheduler must outlive it.
class emulated_machine_list final : public platform::machine_list {
  public:
    emulated_machine_list(platform_model& model, runtime::scheduler& scheduler)
        : admission_(model, scheduler) {}

    runtime::task<platform::result<std::vector<platform::machine>>> list() override;

  private:
    call_admission admission_;
};

}  // namespace ferryroad::emulator
