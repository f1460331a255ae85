#!/usr/bin/env node
import { processEnvironment, runBoragectl } from '../index.js';

process.exitCode = await runBoragectl(process.argv.slice(2), processEnvironment());
