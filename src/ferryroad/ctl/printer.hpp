/// @file
/// Prints answers of routers as tables or as JSON.
#pragma once

#include "ferryroad/catalog/types.hpp"
#include "ferryroad/ctl/options.hpp"

#include <operator/operator.pb.h>
#include <ostream>

namespace ferryroad::ctl {

/// Prints to a stream. JSON output has one object per line.
class printer {
  public:
    printer(output_format format, std::ostream& out) : format_(format), out_(out) {}

    void print(const operators::v1::PlanAnswer& answer);
    void print(const operators::v1::ApplyAnswer& answer);
    void print(const operators::v1::DrainAnswer& answer);
    void print(const operators::v1::ConfirmAnswer& answer);
    void print(const operators::v1::WatchEvent& event);
    void print(const operators::v1::StatusAnswer& answer);
    void print(const operators::v1::ExplainAnswer& answer);
    void print(const catalog::catalog& in_force);
    void print_file(const catalog::catalog& in_force);
    void print_valid(const catalog::catalog& declared);

  private:
    output_format format_;
    std::ostream& out_;
};

}  // namespace ferryroad::ctl
