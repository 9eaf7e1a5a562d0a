package org.sassafraslink.bench;

import java.util.HashMap;
import java.util.Map;
import org.sassafraslink.bench.Deployment.Account;

/**
 * The part of the capacity that a team is entitled to when everything is full.
 *
 * <p>It is its share, filled up to its demand: what a team does not ask for goes to the others in
 * proportion to their shares (max-min fairness by weight).
 */
final class Entitlement {
  private static final double OVERLOAD = 5.0;

  private Entitlement() {}

  static double of(Deployment deployment, Account wanted) {
    Map<String, Double> given = new HashMap<>();
    double left = 1;
    boolean changed = true;
    while (changed) {
      changed = false;
      double shares =
          deployment.accounts().stream()
              .filter(a -> !given.containsKey(a.team()))
              .mapToDouble(Account::share)
              .sum();
      for (Account account : deployment.accounts()) {
        double demand = OVERLOAD * account.demand() / 100.0;
        boolean isSated =
            !given.containsKey(account.team()) && demand <= left * account.share() / shares;
        if (isSated) {
          given.put(account.team(), demand);
          left -= demand;
          changed = true;
          break;
        }
      }
    }
    if (given.containsKey(wanted.team())) {
      return given.get(wanted.team());
    }
    double shares =
        deployment.accounts().stream()
            .filter(a -> !given.containsKey(a.team()))
            .mapToDouble(Account::share)
            .sum();
    return left * wanted.share() / shares;
  }
}
